// Command lab plays the cases of the second review. It starts the program's processes and
// stand-ins of the store, the replicas and the consumers on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is the longest time of a case.
const timeLimit = 118 * time.Second

func main() {
	cases := map[string]func(){
		"large-storm": largeStorm, "config-memory": configMemory, "machine-added": machineAdded, "long-hold": longHold, "hold-relisted": holdRelisted, "crash-forgotten": crashForgotten,
	}
	if len(os.Args) == 2 && cases[os.Args[1]] != nil {
		ends := make(chan os.Signal, 1)
		signal.Notify(ends, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
		go func() {
			select {
			case s := <-ends:
				cannotRun("%v", s)
			case <-time.After(timeLimit):
				cannotRun("the case takes longer than %v", timeLimit)
			}
		}()
		cases[os.Args[1]]()
		return
	}
	fmt.Println("usage: lab CASE")
	os.Exit(2)
}
