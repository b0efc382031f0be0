// Command sequoiacart dispatches short tasks of several owners to endpoints.
package main

import (
	"os"

	"github.com/sequoiacart/sequoiacart/pkg/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
