package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// setAll sets the keys of a table and of nested tables, in alphabetical order.
func setAll(prefix string, table map[string]any, set func(name, value string) error) error {
	names := make([]string, 0, len(table))
	for name := range table {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		key := prefix + name
		var err error
		switch v := table[name].(type) {
		case map[string]any:
			err = setAll(key+".", v, set)
		case []any:
			words := make([]string, len(v))
			for i, w := range v {
				words[i] = fmt.Sprint(w)
			}
			err = set(key, strings.Join(words, ","))
		default:
			err = set(key, fmt.Sprint(v))
		}
		if err != nil {
			return errors.Annotatef(err, "key %s", key)
		}
	}
	return nil
}
