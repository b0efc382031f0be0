package platform_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	wire "github.com/sequoiacart/sequoiacart/platform/standin"
)

// Guards against rows of other writers that end the poll of the list, or are listed as endpoints.
func TestRowsOfOtherWritersAreLeftOut(t *testing.T) {
	const valid = `{"backend":"b","address":"10.0.0.1:1","zone":"centro","state":"ready","slots":8,"born":5}`
	s := wire.NewStore()
	s.Put("servers", "i-1", []byte(valid))
	odd := map[string]string{
		"nested": strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), "port": strings.Replace(valid, ":1\"", ":99999\"", 1),
		"number": strings.Replace(valid, ":8", ":1e300", 1), "slots": strings.Replace(valid, ":8", ":9223372036854775807", 1), "bytes": "\xff\x00",
	}
	for key, text := range odd {
		s.Put("servers", "odd-"+key, []byte(text))
	}
	server := httptest.NewServer(s)
	unreadable := 0
	client := platform.NewClient(platform.ClientConfig{
		Address: strings.TrimPrefix(server.URL, "http://"), AttemptTimeout: 10 * clock.Second, OnUnreadableRow: func(error) { unreadable++ },
	})
	t.Cleanup(func() { client.Close(); server.Close() })
	listed, err := client.ListVMs(context.Background(), "centro")
	if err != nil || len(listed) != 1 || listed[0].Endpoint.ID != "i-1" {
		t.Errorf("got %+v, %v, want the endpoint i-1 alone", listed, err)
	}
	if unreadable != len(odd) {
		t.Errorf("got %d unreadable rows, want %d", unreadable, len(odd))
	}
}
