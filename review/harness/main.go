//go:build review

// Command harness plays the cases of the review: it starts entry VMs as processes, with stand-ins of the
// store, the minions and the clients on loopback addresses.
//
//	harness CASE FOLDER
//
// It writes record.txt to the folder and exits with 1 if the rule of the case was broken, 0 if it held, and
// 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

type broken string

// fail ends a case that cannot run.
func fail(format string, args ...any) { panic(fmt.Errorf(format, args...)) }

func main() { os.Exit(run()) }

func run() (code int) {
	cases := map[string]func(d *deployment, trouble bool) []broken{
		"cancel": cancelCase, "kind": kindCase, "config": configCase, "drain": drainCase, "recover": recoverCase, "silent": silentCase,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return 2
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Fprintln(os.Stderr, "logs of the nodes: "+dir)
	}
	d := newDeployment(dir, r, "zone-a", "zone-b")
	defer func() {
		d.stopAll()
		if e := recover(); e != nil {
			r.log("case could not run: %v", e)
			fmt.Fprintln(os.Stderr, "case could not run:", e)
			code = 2
		}
	}()
	found := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	for _, b := range found {
		r.log("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(found) > 0 {
		return 1
	}
	r.log("the rule held")
	fmt.Println("the rule held")
	return 0
}
