package caller

import (
	"os"
	"strings"
	"testing"
)

// Guards against a call or a problem type that is missing from docs/api.md.
func TestPageShowsEveryCallAndType(t *testing.T) {
	body, err := os.ReadFile("../../docs/api.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(body)
	for _, r := range NewServer(Config{}).echo.Routes() {
		call := "`" + r.Method + " " + strings.ReplaceAll(r.Path, ":id", "{id}")
		if !strings.Contains(page, call) {
			t.Errorf("got no %s` on the page, want it", call)
		}
	}
	for _, name := range []string{
		typeInvalid, typeUnauthorized, typeRefused, typeFailed, typeCannotTellYet, typeConflict, typeExpired, typeNotFound, typeAnswerTooLarge, stateComplete, stateRunning,
	} {
		if !strings.Contains(page, "| `"+name+"` |") {
			t.Errorf("got no row for %s on the page, want one", name)
		}
	}
}
