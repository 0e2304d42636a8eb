// Command standin-2 plays cases of a review against the project's processes, on loopback
// addresses and the real clock. It exits with 1 if the rule of the case was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseRun is one run of a case.
type caseRun struct {
	trouble bool
	dir     string
	record  *record
	store   *store
	storeAt string
	cloud   *cloud
	cloudAt string
	entries []*entry
	workers []*worker
	lb      *balancer
}

// cases return whether the rule held and why.
var cases = map[string]func(*caseRun) (held bool, why string, err error){
	"brittle": runBrittle,
	"poison":  runPoison,
	"copies":  runCopies,
	"part":    runPart,
	"batch":   runBatch,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// maxLength is the longest time that a case may take.
const maxLength = 110 * time.Second

// end ends all processes and workers.
func (r *caseRun) end() {
	for _, e := range r.entries {
		e.kill()
	}
	for _, w := range r.workers {
		w.stop()
	}
}

func play(name, folder string) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &caseRun{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: newRecord(), store: newStore(), cloud: &cloud{}}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	defer r.end()
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-stop:
		case <-time.After(maxLength):
		}
		fmt.Fprintln(os.Stderr, "the case did not end by itself")
		r.end()
		os.Exit(2)
	}()
	if r.storeAt, err = listen(r.store.handler()); err == nil {
		r.cloudAt, err = listen(r.cloud)
	}
	held, why := false, ""
	if err == nil {
		held, why, err = cases[name](r)
	}
	result, code := "the rule was broken: "+why, 1
	switch {
	case err != nil:
		result, code = "the case could not run: "+err.Error(), 2
	case held:
		result, code = "the rule held: "+why, 0
	}
	r.record.add("%s", result)
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	r.record.write(out)
	return code
}

func listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}
