// Command standin plays one case of the review: it starts the project's program as
// separate processes, with stand-ins of the platform, of executors and of clients, and
// checks one rule.
//
// # Usage
//
//	standin CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseFunc plays a case and returns the breaks of the rule that it saw.
type caseFunc func(c *cell, hasTrouble bool) (breaks []string, err error)

var cases = map[string]caseFunc{
	"many-ends":   manyEnds,
	"crash-loop":  crashLoop,
	"saved-gang":  savedGang,
	"refused":     refusedWhileDraining,
	"occurrences": manyOccurrences,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(f caseFunc, path string, hasTrouble bool) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	log := &record{file: file, began: time.Now()}
	c, err := newCell(log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer c.close()
	log.printf("trouble: %v", hasTrouble)
	breaks, err := f(c, hasTrouble)
	if err != nil {
		log.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitFailed
	}
	for i, b := range breaks {
		log.printf("broken: %s", b)
		if i < 5 {
			fmt.Println("broken:", b)
		}
	}
	if len(breaks) > 0 {
		fmt.Println(len(breaks), "breaks")
		return exitBroken
	}
	log.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
