package event

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

type line struct{ level, text string }

// Guards against events that are missing from the catalogue, entries without an event,
// duplicate numbers, and texts or levels that differ.
func TestCatalogueAgreesWithTheCode(t *testing.T) {
	numbers, uses := readCode(t)
	page := readPage(t)
	seen := make(map[Number]string)
	for name, n := range numbers {
		if other, ok := seen[n]; ok {
			t.Errorf("got %s for both %s and %s, want a number for each", n, name, other)
		}
		seen[n] = name
		if _, ok := page[n]; !ok {
			t.Errorf("got no row for %s (%s), want one in docs/events.md", n, name)
		}
		if len(uses[name]) == 0 {
			t.Errorf("got no call that logs %s (%s), want one", n, name)
		}
		for _, u := range uses[name] {
			if u != page[n] {
				t.Errorf("got %v in the code for %s, want %v as in docs/events.md", u, n, page[n])
			}
		}
	}
	for n := range page {
		if _, ok := seen[n]; !ok {
			t.Errorf("got a row for %s, want an event with this number", n)
		}
	}
}

func readPage(t *testing.T) map[Number]line {
	t.Helper()
	body, err := os.ReadFile("../../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := regexp.MustCompile(`(?m)^\| (SQ-[1-7]\d{3}) \| (info|warning) \| ([^|]+) \| [^|]+ \|$`).FindAllStringSubmatch(string(body), -1)
	page := make(map[Number]line)
	for _, r := range rows {
		page[Number(r[1])] = line{r[2], r[3]}
	}
	if got, want := strings.Count(string(body), "\n| SQ-"), len(page); got != want {
		t.Errorf("got %d rows and %d well-formed ones with numbers of their own, want all", got, want)
	}
	return page
}

// readCode returns the event numbers by constant name and the levels and texts of the
// calls that log them. It reports a text that is not a literal.
func readCode(t *testing.T) (map[string]Number, map[string][]line) {
	t.Helper()
	constant := regexp.MustCompile(`(\w+)\s+Number\s*=\s*"([^"]+)"`)
	use := regexp.MustCompile(`\.(\w+)\(\s*event\.(\w+),\s*("(?:[^"\\]|\\.)*",)?`)
	levels := map[string]string{"Info": "info", "Warn": "warning"}
	numbers, uses := make(map[string]Number), make(map[string][]line)
	read := func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		body, err := os.ReadFile(path)
		for _, m := range constant.FindAllStringSubmatch(string(body), -1) {
			numbers[m[1]] = Number(m[2])
		}
		for _, m := range use.FindAllStringSubmatch(string(body), -1) {
			text, err := strconv.Unquote(strings.TrimSuffix(m[3], ","))
			if err != nil {
				t.Errorf("got a text of %s in %s that is not a literal, want one", m[2], path)
			}
			uses[m[2]] = append(uses[m[2]], line{levels[m[1]], text})
		}
		return err
	}
	for _, root := range []string{"..", "../../internal", "../../platform"} {
		if err := filepath.WalkDir(root, read); err != nil {
			t.Fatal(err)
		}
	}
	return numbers, uses
}
