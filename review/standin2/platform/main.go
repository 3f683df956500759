// Command standin2 plays the scripts of the second review: stand-ins of the platform, the
// databases and the consumers, with the system's own program as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is the longest time of a script.
const timeLimit = 110 * time.Second

func main() {
	cases := map[string]func(record *record, isTroubled bool) int{"memory": playMemory, "lost": playLost, "stale": playStale, "restart": playRestart, "former": playFormer, "gone": playGone}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD; BRAMLEYVM is the program, TROUBLE=0 leaves the disruption out")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		stopAll()
		os.Exit(2)
	}()
	os.Exit(cases[os.Args[1]](newRecord(os.Args[2]), os.Getenv("TROUBLE") != "0"))
}
