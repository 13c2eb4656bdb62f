package main

import (
	"fmt"
	"os"
)

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
