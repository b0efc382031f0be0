//go:build review

// Command standins-2 plays the cases of the second review: it starts nodes with the command of the deploy
// file, and the platform's store, its endpoints and its callers as stand-ins on loopback addresses.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit is how long a case may take. The process ends itself then, after the nodes.
const limit = 115 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*deployment) (broken bool){
		"returned-entries": returnedEntries, "dropped-route": droppedRoute, "replaced-route": replacedRoute, "resent-part": resentPart, "forgotten-cancellation": forgottenCancellation,
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

// run plays a case and returns the exit code.
func run(play func(*deployment) bool, program, record string) (code int) {
	d, err := newDeployment(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case s := <-interrupted:
			d.record.write("ended by a signal: %v", s)
		case <-time.After(limit):
			d.record.write("the case took longer than %v", limit)
		}
		d.close()
		os.Exit(2)
	}()
	defer func() {
		if r := recover(); r != nil {
			d.record.write("could not run: %v", r)
			fmt.Fprintln(os.Stderr, "could not run:", r)
			code = 2
		}
	}()
	if play(d) {
		fmt.Println("broken, see", record)
		return 1
	}
	fmt.Println("held")
	return 0
}
