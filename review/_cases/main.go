package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a case, which takes some 46 s.
const maxTime = 110 * time.Second

// cases run one case each. trouble is false if the disruption is left out.
var cases = map[string]func(s *site, trouble bool) error{
	"late-health-answer": lateHealthAnswer,
	"config-storm":       configStorm,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	s, err := newSite(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	go s.stopEarly()
	trouble := os.Getenv("TROUBLE") != "0"
	s.logf("case %s, disruption: %v", name, trouble)
	if err := cases[name](s, trouble); err != nil {
		s.logf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	if n := s.breaches(); n > 0 {
		s.logf("the rule was broken %d times", n)
		fmt.Println("the rule was broken", n, "times")
		return exitBroken
	}
	s.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// stopEarly ends all processes and the case if it is interrupted or takes too long.
func (s *site) stopEarly() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case sig := <-interrupted:
		s.logf("the case was interrupted: %v", sig)
	case <-time.After(maxTime):
		s.logf("the case took over %v", maxTime)
	}
	s.close()
	os.Exit(exitNotRun)
}
