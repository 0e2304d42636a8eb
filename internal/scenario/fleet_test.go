package scenario_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/internal/provider"
)

const (
	// waitTimeout bounds each wait of a command and each call.
	waitTimeout   = 60 * time.Second
	pollInterval  = 10 * time.Millisecond
	operatorToken = "demo-operator"
	// operatorDigest is the operator's name and the SHA-256 of operatorToken.
	operatorDigest = "ana:9437e87fae95c03d3778f2575bb18ce30e647e51d86a8c37963364e1fc4f374e"
)

// scriptCount counts the scripts that were set up. Each script has its own IP
// prefix.
var scriptCount atomic.Int64

// process is one process of a script: an entry, an upstream, the emulated
// platform or the link between entries.
type process struct {
	name   string
	ip     string
	vm     provider.VM
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// fleet holds the processes, calls and faults of one script.
type fleet struct {
	dir            string
	env            []string
	ipPrefix       string
	hostCount      int
	processes      map[string]*process
	startOrder     []string
	client         *http.Client
	mu             sync.Mutex
	calls          map[string]*call
	cuts           []emulator.Cut
	platformFaults emulator.PlatformFaults
	markedRuns     map[string]int
	traffic        map[string]*traffic
}

func setup(env *testscript.Env) error {
	n := scriptCount.Add(1)
	f := &fleet{
		dir:        env.WorkDir,
		env:        env.Vars,
		ipPrefix:   fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, n),
		processes:  map[string]*process{},
		client:     &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		calls:      map[string]*call{},
		markedRuns: map[string]int{},
		traffic:    map[string]*traffic{},
	}
	env.Values["fleet"] = f
	env.Defer(f.close)
	for _, firm := range []string{"quiroga", "morsko"} {
		source, err := os.ReadFile("../../examples/" + firm + ".yaml")
		if err != nil {
			return err
		}
		if err := os.WriteFile(env.WorkDir+"/"+firm+".yaml", source, 0o644); err != nil {
			return err
		}
	}
	if err := f.start("platform", "standin", "platform", "--listen", f.address(1, 7000)); err != nil {
		return err
	}
	return f.start("link", "standin", "link", "--listen", f.address(2, 7001))
}

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s%d:%d", f.ipPrefix, host, port) }

func (f *fleet) close() {
	for _, t := range f.traffic {
		if !t.stopped() {
			close(t.stop)
		}
	}
	for _, c := range f.matchingCalls("*") {
		c.mu.Lock()
		if c.cancel != nil {
			c.cancel()
		}
		c.mu.Unlock()
	}
	for _, name := range f.startOrder {
		p := f.processes[name]
		if p.running() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
		<-p.exited
		p.log.Close()
	}
}

// start starts a process and waits until it responds to HTTP on the address in
// its argument --listen, or has exited.
func (f *fleet) start(name, program string, args ...string) error {
	log, err := os.Create(fmt.Sprintf("%s/%s.log", f.dir, name))
	if err != nil {
		return err
	}
	path, err := exec.LookPath(program)
	if err != nil {
		return err
	}
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append([]string{}, f.env...)
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{name: name, cmd: cmd, log: log, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	f.processes[name] = p
	f.startOrder = append(f.startOrder, name)
	listen := ""
	for i, arg := range args {
		if arg == "--listen" {
			listen = args[i+1]
		}
	}
	p.ip, _, _ = strings.Cut(listen, ":")
	err = f.waitFor(func() (bool, string) {
		if !p.running() {
			return true, ""
		}
		resp, err := f.client.Get("http://" + listen + "/healthz")
		if err != nil {
			return false, err.Error()
		}
		resp.Body.Close()
		return true, ""
	})
	if !p.running() {
		text, _ := os.ReadFile(log.Name())
		return errors.New("exited: " + string(text))
	}
	return err
}

// waitFor polls condition every pollInterval until it returns true. After
// waitTimeout it fails with the last reason that condition returned.
func (f *fleet) waitFor(condition func() (bool, string)) error {
	deadline := time.Now().Add(waitTimeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		ok, reason := condition()
		if ok {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("timed out: " + reason)
		}
		<-ticker.C
	}
}

func (f *fleet) process(name string) (*process, error) {
	p, ok := f.processes[name]
	if !ok {
		return nil, fmt.Errorf("no process %s", name)
	}
	return p, nil
}

// postJSON posts in as JSON and decodes the JSON response.
func postJSON[Resp, Req any](f *fleet, url string, in Req) (Resp, error) {
	var out Resp
	body, err := json.Marshal(in)
	if err != nil {
		return out, err
	}
	resp, err := f.client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return out, err
	}
	if resp.StatusCode != http.StatusOK {
		return out, fmt.Errorf("%s: %s", resp.Status, data)
	}
	return out, json.Unmarshal(data, &out)
}

// getJSON gets url with a bearer token and decodes the JSON response.
func getJSON[Resp any](f *fleet, url, token string) (Resp, error) {
	var out Resp
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return out, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := f.client.Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, errors.New(resp.Status)
	}
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// controlURL returns the URL of a control path of the emulated platform.
func (f *fleet) controlURL(path string) string {
	return "http://" + f.address(1, 7000) + "/control/" + path
}

// register adds a VM to the platform's VM list.
func (f *fleet) register(p *process, vm provider.VM) error {
	p.vm = vm
	_, err := postJSON[provider.VM](f, f.controlURL("vms"), vm)
	return err
}

// journal returns the requests that an upstream ran, from the upstream itself.
// The journal of an upstream that has exited is lost.
func (f *fleet) journal(name string) ([]emulator.Run, error) {
	p, err := f.process(name)
	if err != nil {
		return nil, err
	}
	return getJSON[[]emulator.Run](f, "http://"+p.ip+":9000/control/journal", "")
}

// upstreams returns the running upstream processes, in the order of their start.
func (f *fleet) upstreams() []*process {
	var list []*process
	for _, name := range f.startOrder {
		p := f.processes[name]
		if (p.vm.Role == provider.RoleEngine || p.vm.Role == provider.RoleService) && p.running() {
			list = append(list, p)
		}
	}
	return list
}
