// Command standin plays the cases of the review: it starts routers with the command of the deploy file on
// loopback addresses, and plays the platform's store, its workers and its clients for them.
package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// caseRun is the surroundings of one run.
type caseRun struct {
	trouble  bool
	record   *record
	store    *store
	machines *machine
	routers  []*router
}

func routeDoc(name, prefix, kind, service string, timeout int, resume bool) map[string]any {
	return map[string]any{
		"Name": name, "Host": "ficu95.example", "Prefix": prefix, "Kind": kind, "TimeoutMs": timeout, "TargetLatencyMs": 600, "Priority": 1,
		"Service": service, "MaxAttempts": 2, "Public": false, "SessionAffinity": kind == "streaming", "StreamResumption": resume, "GapTargetMs": 300,
	}
}

func limitsDoc() map[string]any {
	return map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
}

// startRouters starts all routers as a system that starts for the first time, and waits until they are ready.
func (c *caseRun) startRouters() {
	for i := range c.machines.ips {
		r := c.machines.newRouter(i)
		c.routers = append(c.routers, r)
		c.machines.start(i, r, true)
	}
	waitReady(c.routers, 15*time.Second)
	time.Sleep(time.Second)
	c.record.line("routers are ready")
}

func (c *caseRun) stopRouters() {
	for _, r := range c.routers {
		r.signal(syscall.SIGKILL)
		<-r.exited
	}
}

// freeAddresses returns loopback addresses on which the routers' ports are free.
func freeAddresses(n int) []string {
	var out []string
	for i := 0; len(out) < n; i++ {
		if i > 2000 {
			cannotRun("no free loopback addresses")
		}
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%100, 1+(os.Getpid()/100)%200, 1+i)
		if allFree(ip) {
			out = append(out, ip)
		}
	}
	return out
}

func allFree(ip string) bool {
	for _, port := range []int{8227, 8220, 8229, 7340, 19100} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func main() {
	if len(os.Args) != 4 {
		cannotRun("usage: standin CASE REPOSITORY FOLDER")
	}
	play, ok := map[string]struct {
		routers int
		run     func(*caseRun) bool
	}{
		"keys":   {2, keysCase},
		"memory": {3, memoryCase},
		"grace":  {2, graceCase},
	}[os.Args[1]]
	if !ok {
		cannotRun("no case %q", os.Args[1])
	}
	repository, err := filepath.Abs(os.Args[2])
	if err != nil {
		cannotRun("repository: %v", err)
	}
	if _, err := os.Stat(filepath.Join(repository, "target/hemlockdyke-router")); err != nil {
		cannotRun("the build of the deploy file is missing: %v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	c := &caseRun{trouble: os.Getenv("TROUBLE") != "0", record: newRecord(filepath.Join(os.Args[3], "record.txt")), store: newStore()}
	c.machines = &machine{store: c.store, dir: dir, ips: freeAddresses(play.routers), memoryMb: 284, repository: repository}
	broken := play.run(c)
	c.stopRouters()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("kept", dir)
	}
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
