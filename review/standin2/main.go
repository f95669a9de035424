//go:build review2

package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// longest bounds a case.
const longest = 110 * time.Second

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// cases are the scripted cases by name; trouble is false for a run without the disruption.
var cases = map[string]func(s *site, trouble bool) error{
	"route":  routeCase,
	"memory": memoryCase,
	"era":    eraCase,
	"again":  againCase,
	"stuck":  stuckCase,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE ROOT FOLDER")
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", dir)
	}
	s, err := newSite(dir, os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-done:
	case <-signals:
		err = errors.New("it was stopped")
	case <-time.After(longest):
		err = errors.New("it took too long")
	}
	return s.report(err)
}

// report writes the result of a case and returns its exit code.
func (s *site) report(err error) int {
	switch {
	case err == nil:
		s.record("result: the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		s.record("result: %v", err)
		fmt.Println(err)
		return exitBroken
	default:
		s.record("result: the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
}
