package event

import (
	"go/ast"
	"go/parser"
	"go/token"
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
// numbers that are used twice, and texts or levels that differ.
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
			t.Errorf("got no place that writes %s (%s), want one", n, name)
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
	rows := regexp.MustCompile(`(?m)^\| (SQ-[1-6]\d{3}) \| (info|warning) \| ([^|]+) \| [^|]+ \|$`).FindAllStringSubmatch(string(body), -1)
	page := make(map[Number]line)
	for _, r := range rows {
		page[Number(r[1])] = line{r[2], r[3]}
	}
	if got, want := strings.Count(string(body), "\n| SQ-"), len(rows); got != want {
		t.Errorf("got %d rows of which %d are well-formed, want all", got, want)
	}
	return page
}

// readCode returns the numbers by their constants and the texts with which each is written.
func readCode(t *testing.T) (map[string]Number, map[string][]line) {
	t.Helper()
	numbers, uses := make(map[string]Number), make(map[string][]line)
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.ValueSpec:
				readNumber(n, numbers)
			case *ast.CallExpr:
				readUse(t, path, n, uses)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return numbers, uses
}

func readNumber(v *ast.ValueSpec, numbers map[string]Number) {
	if kind, ok := v.Type.(*ast.Ident); !ok || kind.Name != "Number" || len(v.Values) != 1 {
		return
	}
	if literal, ok := v.Values[0].(*ast.BasicLit); ok {
		n, _ := strconv.Unquote(literal.Value)
		numbers[v.Names[0].Name] = Number(n)
	}
}

func readUse(t *testing.T, path string, c *ast.CallExpr, uses map[string][]line) {
	method, ok := c.Fun.(*ast.SelectorExpr)
	if !ok || len(c.Args) < 2 {
		return
	}
	number, ok := c.Args[0].(*ast.SelectorExpr)
	if !ok {
		return
	}
	if from, ok := number.X.(*ast.Ident); !ok || from.Name != "event" {
		return
	}
	literal, ok := c.Args[1].(*ast.BasicLit)
	if !ok {
		t.Errorf("got a text of %s in %s that is no literal, want one", number.Sel.Name, path)
		return
	}
	text, _ := strconv.Unquote(literal.Value)
	level := map[string]string{"Info": "info", "Warn": "warning"}[method.Sel.Name]
	uses[number.Sel.Name] = append(uses[number.Sel.Name], line{level, text})
}
