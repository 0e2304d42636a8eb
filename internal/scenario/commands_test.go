package scenario_test

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/galenahitch/galenahitch/internal/commander"
	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/server"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/recorder"
)

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	list := map[string]func(*fleet, []string) error{
		"engine":    (*fleet).cmdEngine,
		"service":   (*fleet).cmdService,
		"entry":     (*fleet).cmdEntry,
		"ready":     (*fleet).cmdReady,
		"notready":  (*fleet).cmdNotReady,
		"destroy":   (*fleet).cmdDestroy,
		"freeze":    signalCommand(syscall.SIGSTOP),
		"thaw":      signalCommand(syscall.SIGCONT),
		"terminate": signalCommand(syscall.SIGTERM),
		"exited":    (*fleet).cmdExited,
		"cut":       (*fleet).cmdCut,
		"heal":      (*fleet).cmdHeal,
		"fault":     (*fleet).cmdFault,
		"platform":  (*fleet).cmdPlatform,
		"reclaim":   (*fleet).cmdReclaim,
		"call":      (*fleet).cmdCall,
		"calls":     (*fleet).cmdCalls,
		"hangup":    (*fleet).cmdHangup,
		"expect":    (*fleet).cmdExpect,
		"tokens":    (*fleet).cmdTokens,
		"await":     (*fleet).cmdAwait,
		"mark":      (*fleet).cmdMark,
		"unchanged": (*fleet).cmdUnchanged,
		"truth":     (*fleet).cmdTruth,
		"crashed":   (*fleet).cmdCrashed,
		"reached":   (*fleet).cmdReached,
		"share":     (*fleet).cmdShare,
		"traffic":   (*fleet).cmdTraffic,
		"quiet":     (*fleet).cmdQuiet,
		"atmost":    (*fleet).cmdAtMost,
	}
	all := map[string]func(*testscript.TestScript, bool, []string){"admin": cmdAdmin}
	for name, run := range list {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			err := run(ts.Value("fleet").(*fleet), args)
			if neg && err == nil {
				ts.Fatalf("%s succeeded unexpectedly", name)
			}
			if !neg && err != nil {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	return all
}

// cmdAdmin runs an operator's command against the administration API of an
// entry: admin ENTRY ARGS...
func cmdAdmin(ts *testscript.TestScript, neg bool, args []string) {
	f := ts.Value("fleet").(*fleet)
	p, err := f.process(args[0])
	ts.Check(err)
	cliArgs := append([]string{}, args[1:]...)
	for i, arg := range cliArgs {
		if strings.HasSuffix(arg, ".yaml") {
			cliArgs[i] = ts.MkAbs(arg)
		}
	}
	cliArgs = append(cliArgs, "--admin", "http://"+p.ip+":8081", "--token", operatorToken)
	exit := commander.Main(cliArgs, commander.IO{Out: ts.Stdout(), Err: ts.Stderr(), Now: time.Now})
	if neg == (exit == commander.ExitOK) {
		ts.Fatalf("admin %s: exit %d", strings.Join(args, " "), exit)
	}
}

// nextHost returns the last byte of the IP address of the next process.
func (f *fleet) nextHost() int {
	f.hostCount++
	return 9 + f.hostCount
}

// parseOptions parses arguments of the form k=v; later ones override earlier
// ones and the defaults. An argument without = is a key with an empty value.
func parseOptions(args []string, defaults ...string) map[string]string {
	values := map[string]string{}
	for _, arg := range append(defaults, args...) {
		key, value, _ := strings.Cut(arg, "=")
		values[key] = value
	}
	return values
}

// cmdEngine starts an emulated engine and adds its VM to the VM list, or with
// spare=true to the VMs that can be ordered:
// engine NAME domain=D [version=v1] [slots=8] [each=5ms] [first=5ms] [reclaimable=true]
func (f *fleet) cmdEngine(args []string) error {
	o := parseOptions(args[1:], "version=v1", "slots=8", "each=5ms", "first=5ms", "deployment=size-advice", "reclaimable=true")
	address := f.address(f.nextHost(), 9000)
	if err := f.start(args[0], "standin", "engine", "--listen", address, "--version", o["version"],
		"--slots", o["slots"], "--each-token", o["each"], "--first-token", o["first"]); err != nil {
		return err
	}
	return f.registerUpstream(args[0], address, provider.RoleEngine, o)
}

// cmdService starts an emulated service, like cmdEngine:
// service NAME domain=D [version=v1] [slots=8] [delay=5ms]
func (f *fleet) cmdService(args []string) error {
	o := parseOptions(args[1:], "version=v1", "slots=8", "delay=5ms", "deployment=fit-profile", "reclaimable=true")
	address := f.address(f.nextHost(), 9000)
	if err := f.start(args[0], "standin", "service", "--listen", address, "--version", o["version"],
		"--slots", o["slots"], "--delay", o["delay"]); err != nil {
		return err
	}
	return f.registerUpstream(args[0], address, provider.RoleService, o)
}

func (f *fleet) registerUpstream(name, address string, role provider.Role, o map[string]string) error {
	slots, err := strconv.Atoi(o["slots"])
	if err != nil {
		return err
	}
	vm := provider.VM{
		ID: name, Role: role, Address: address, FailureDomain: o["domain"], Deployment: o["deployment"],
		Version: o["version"], Slots: slots, Reclaimable: o["reclaimable"] == "true",
	}
	if o["spare"] == "true" {
		f.processes[name].vm = vm
		_, err := postJSON[provider.VM](f, f.controlURL("spares"), vm)
		return err
	}
	return f.register(f.processes[name], vm)
}

// cmdEntry starts an entry, whose peers reach it through the link, and adds its
// VM to the VM list unless listed=false:
// entry NAME domain=D [seed=ENTRY] [lease=1s] [listed=true]
func (f *fleet) cmdEntry(args []string) error {
	o := parseOptions(args[1:], "lease="+leaseLifetime.String(), "listed=true")
	host := f.nextHost()
	ip := fmt.Sprintf("%s%d", f.ipPrefix, host)
	relay := f.address(2, 20000+host)
	if _, err := postJSON[string](f, "http://"+f.address(2, 7001)+"/control/relay", relay+"="+ip+":8082"); err != nil {
		return err
	}
	flags := []string{
		"serve", "--id", args[0], "--failure-domain", o["domain"], "--listen", ip + ":8080", "--admin-listen", ip + ":8081",
		"--peer-listen", ip + ":8082", "--peer-address", relay, "--local-ip", ip, "--platform", "http://" + f.address(1, 7000),
		"--operator", operatorDigest, "--lease-lifetime", o["lease"],
	}
	if seed := o["seed"]; seed != "" {
		p, err := f.process(seed)
		if err != nil {
			return err
		}
		flags = append(flags, "--seed", p.vm.PeerAddress)
	}
	if err := f.start(args[0], "galenahitch", flags...); err != nil {
		return err
	}
	vm := provider.VM{ID: args[0], Role: provider.RoleEntry, Address: ip + ":8080", PeerAddress: relay, FailureDomain: o["domain"], Reclaimable: true}
	f.processes[args[0]].vm = vm
	if o["listed"] != "true" {
		return nil
	}
	return f.register(f.processes[args[0]], vm)
}

// cmdReady waits until entries are ready: ready ENTRY...
func (f *fleet) cmdReady(args []string) error {
	for _, name := range args {
		p, err := f.process(name)
		if err != nil {
			return err
		}
		err = f.waitFor(func() (bool, string) {
			resp, err := f.client.Get("http://" + p.ip + ":8080/readyz")
			if err != nil {
				return false, err.Error()
			}
			defer resp.Body.Close()
			return resp.StatusCode == 200, resp.Status
		})
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// cmdNotReady checks that an entry is not ready and that its reason contains
// REASON: notready ENTRY REASON
func (f *fleet) cmdNotReady(args []string) error {
	p, err := f.process(args[0])
	if err != nil {
		return err
	}
	resp, err := f.client.Get("http://" + p.ip + ":8080/readyz")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode == 200 || !strings.Contains(string(text), args[1]) {
		return fmt.Errorf("%s %s %v", resp.Status, text, err)
	}
	return nil
}

// cmdDestroy kills processes and waits until they have exited: destroy NAME...
func (f *fleet) cmdDestroy(args []string) error {
	for _, name := range args {
		p, err := f.process(name)
		if err != nil {
			return err
		}
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	return nil
}

// signalCommand returns a command that sends signal to processes: freeze, thaw
// or terminate NAME...
func signalCommand(signal syscall.Signal) func(*fleet, []string) error {
	return func(f *fleet, args []string) error {
		for _, name := range args {
			p, err := f.process(name)
			if err != nil {
				return err
			}
			if err := p.cmd.Process.Signal(signal); err != nil {
				return err
			}
		}
		return nil
	}
}

// cmdExited waits until a process has exited with code 0: exited NAME
func (f *fleet) cmdExited(args []string) error {
	p, err := f.process(args[0])
	if err != nil {
		return err
	}
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		return fmt.Errorf("the process is still running")
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("exit code %d", code)
	}
	return nil
}

// cmdCut cuts an entry off from the platform or from another entry, in both
// directions: cut ENTRY platform | cut ENTRY ENTRY
func (f *fleet) cmdCut(args []string) error {
	p, err := f.process(args[0])
	if err != nil {
		return err
	}
	if args[1] == "platform" {
		f.platformFaults.CutIPs = append(f.platformFaults.CutIPs, p.ip)
		return f.setPlatformFaults()
	}
	other, err := f.process(args[1])
	if err != nil {
		return err
	}
	f.cuts = append(f.cuts, emulator.Cut{FromIP: p.ip, To: other.vm.PeerAddress}, emulator.Cut{FromIP: other.ip, To: p.vm.PeerAddress})
	return f.setCuts()
}

// cmdHeal removes all cuts.
func (f *fleet) cmdHeal([]string) error {
	f.cuts = []emulator.Cut{}
	f.platformFaults.CutIPs = nil
	if err := f.setPlatformFaults(); err != nil {
		return err
	}
	return f.setCuts()
}

func (f *fleet) setCuts() error {
	_, err := postJSON[[]emulator.Cut](f, "http://"+f.address(2, 7001)+"/control/cuts", f.cuts)
	return err
}

func (f *fleet) setPlatformFaults() error {
	_, err := postJSON[emulator.PlatformFaults](f, f.controlURL("faults"), f.platformFaults)
	return err
}

// cmdPlatform replaces the platform's faults other than cuts; up removes them:
// platform up | down | slow=300 | lose=2 | freeze_list | refuse_starts
//
// slow is in milliseconds; lose is the number of writes whose responses are dropped.
func (f *fleet) cmdPlatform(args []string) error {
	cuts := f.platformFaults.CutIPs
	o := parseOptions(args)
	f.platformFaults = emulator.PlatformFaults{CutIPs: cuts}
	_, f.platformFaults.Down = o["down"]
	_, f.platformFaults.FreezeList = o["freeze_list"]
	_, f.platformFaults.RefuseStarts = o["refuse_starts"]
	f.platformFaults.SlowMS, _ = strconv.ParseInt(o["slow"], 10, 64)
	f.platformFaults.LoseWrites, _ = strconv.Atoi(o["lose"])
	return f.setPlatformFaults()
}

// cmdFault replaces an upstream's faults; without JSON it removes them: fault NAME [JSON]
func (f *fleet) cmdFault(args []string) error {
	p, err := f.process(args[0])
	if err != nil {
		return err
	}
	body := "{}"
	if len(args) > 1 {
		body = args[1]
	}
	resp, err := f.client.Post("http://"+p.ip+":9000/control/faults", "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return fmt.Errorf("%s", resp.Status)
	}
	return nil
}

// cmdReclaim announces that VMs will be reclaimed after REMAINING, a duration:
// reclaim REMAINING VM... | reclaim REMAINING domain=D
func (f *fleet) cmdReclaim(args []string) error {
	remaining, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	order := emulator.Reclaim{RemainingMS: remaining.Milliseconds()}
	for _, arg := range args[1:] {
		if domain, ok := strings.CutPrefix(arg, "domain="); ok {
			order.FailureDomain = domain
			continue
		}
		order.VMIDs = append(order.VMIDs, arg)
	}
	_, err = postJSON[[]string](f, f.controlURL("reclaim"), order)
	return err
}

// cmdCall starts a call and doesn't wait for its response: call NAME entry=E route=R|service=S [k=v...]
func (f *fleet) cmdCall(args []string) error {
	c := newCall(args[0], args[1:])
	f.mu.Lock()
	f.calls[c.name] = c
	f.mu.Unlock()
	go c.run(f)
	return nil
}

// cmdCalls starts N calls named PREFIX0, PREFIX1 and so on: calls PREFIX N k=v...
//
// %d in an argument is replaced by the call's number.
func (f *fleet) cmdCalls(args []string) error {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	for i := range n {
		callArgs := []string{fmt.Sprintf("%s%d", args[0], i)}
		for _, arg := range args[2:] {
			callArgs = append(callArgs, strings.ReplaceAll(arg, "%d", strconv.Itoa(i)))
		}
		if err := f.cmdCall(callArgs); err != nil {
			return err
		}
	}
	return nil
}

// matchingCalls returns the call named pattern, or all calls with a prefix if
// pattern is the prefix and *.
func (f *fleet) matchingCalls(pattern string) []*call {
	f.mu.Lock()
	defer f.mu.Unlock()
	prefix, isPrefix := strings.CutSuffix(pattern, "*")
	var list []*call
	for name, c := range f.calls {
		if name == pattern || isPrefix && strings.HasPrefix(name, prefix) {
			list = append(list, c)
		}
	}
	return list
}

// cmdHangup cancels calls, as a client that disconnects: hangup NAME
func (f *fleet) cmdHangup(args []string) error {
	for _, c := range f.matchingCalls(args[0]) {
		c.mu.Lock()
		c.reconnect = false
		c.cancel()
		c.mu.Unlock()
		<-c.ended
	}
	return nil
}

// cmdExpect waits until calls have ended and checks their outcomes:
// expect NAME done | refused CODE [VERDICT] | done_or CODE...
func (f *fleet) cmdExpect(args []string) error {
	list := f.matchingCalls(args[0])
	if len(list) == 0 {
		return fmt.Errorf("no call %s", args[0])
	}
	for _, c := range list {
		select {
		case <-c.ended:
		case <-time.After(waitTimeout):
			return fmt.Errorf("%s: timed out", c.name)
		}
		if err := c.checkOutcome(args[1], args[2:]); err != nil {
			return err
		}
	}
	return nil
}

func (c *call) checkOutcome(outcome string, args []string) error {
	if outcome == "done" {
		return c.checkComplete()
	}
	if outcome == "done_or" && c.checkComplete() == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal == nil {
		return fmt.Errorf("%s: no refusal: status=%d complete=%t error=%v", c.name, c.status, c.complete, c.lastErr)
	}
	if outcome == "done_or" {
		for _, code := range args {
			if string(c.refusal.Code) == code {
				return nil
			}
		}
		return fmt.Errorf("%s: %v", c.name, c.refusal)
	}
	if string(c.refusal.Code) != args[0] || len(args) > 1 && string(c.refusal.Verdict) != args[1] {
		return fmt.Errorf("%s: %v", c.name, c.refusal)
	}
	return nil
}

// cmdTokens waits until each call has received N tokens: tokens NAME N
func (f *fleet) cmdTokens(args []string) error {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	for _, c := range f.matchingCalls(args[0]) {
		if err := f.waitFor(func() (bool, string) {
			return c.receivedTokens() >= n, fmt.Sprintf("%s has %d tokens", c.name, c.receivedTokens())
		}); err != nil {
			return err
		}
	}
	return nil
}

// cmdAwait waits until an observed value equals the last argument or, if that is
// a number, has reached it:
// await upstream ENTRY ID STATE | metric ENTRY NAME N | generation ENTRY N |
// move ENTRY DEPLOYMENT STATE | audit ENTRY EVENT N | reach ENTRY ENTRY REACH | runs UPSTREAM N
func (f *fleet) cmdAwait(args []string) error {
	return f.waitFor(func() (bool, string) {
		observed, err := f.observe(args)
		if err != nil {
			return false, err.Error()
		}
		want := args[len(args)-1]
		have, _ := strconv.Atoi(observed)
		need, err := strconv.Atoi(want)
		if err == nil {
			return have >= need, "last value: " + observed
		}
		return observed == want, "last value: " + observed
	})
}

// observe returns the current value that the arguments of await name.
func (f *fleet) observe(args []string) (string, error) {
	p, err := f.process(args[1])
	if err != nil {
		return "", err
	}
	admin := "http://" + p.ip + ":8081"
	switch args[0] {
	case "upstream":
		list, err := getJSON[[]server.UpstreamStatus](f, admin+"/admin/v1/upstreams", operatorToken)
		for _, u := range list {
			if u.ID == args[2] {
				return u.State, err
			}
		}
		return "unknown", err
	case "metric":
		return f.metric(admin, args[2])
	case "generation":
		status, err := getJSON[server.Status](f, admin+"/admin/v1/status", operatorToken)
		return strconv.FormatUint(status.Generation, 10), err
	case "move":
		list, err := getJSON[[]server.MoveStatus](f, admin+"/admin/v1/moves", operatorToken)
		for _, m := range list {
			if m.Deployment == args[2] {
				return string(m.State), err
			}
		}
		return "none", err
	case "reach":
		status, err := getJSON[server.Status](f, admin+"/admin/v1/status", operatorToken)
		for _, e := range status.Entries {
			if e.ID == args[2] {
				return string(e.Reachability), err
			}
		}
		return "unknown", err
	case "audit":
		records, err := getJSON[[]recorder.Record](f, admin+"/admin/v1/audit", operatorToken)
		n := 0
		for _, r := range records {
			if r.Event == args[2] {
				n++
			}
		}
		return strconv.Itoa(n), err
	case "runs":
		runs, err := f.journal(args[1])
		return strconv.Itoa(len(runs)), err
	}
	return "", fmt.Errorf("%s can't be observed", args[0])
}

// metric returns the value of a metric, or 0 if it is not exported.
func (f *fleet) metric(admin, name string) (string, error) {
	resp, err := f.client.Get(admin + "/metrics")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var text strings.Builder
	buffer := make([]byte, 64<<10)
	for {
		n, err := resp.Body.Read(buffer)
		text.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	for _, line := range strings.Split(text.String(), "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return value, nil
		}
	}
	return "0", nil
}

// cmdMark stores the number of requests that each upstream has run, for
// cmdUnchanged: mark UPSTREAM...
func (f *fleet) cmdMark(args []string) error {
	for _, name := range args {
		runs, err := f.journal(name)
		if err != nil {
			return err
		}
		f.markedRuns[name] = len(runs)
	}
	return nil
}

// cmdUnchanged fails if an upstream has run a request since mark: unchanged UPSTREAM...
func (f *fleet) cmdUnchanged(args []string) error {
	for _, name := range args {
		runs, err := f.journal(name)
		if err != nil {
			return err
		}
		if len(runs) != f.markedRuns[name] {
			return fmt.Errorf("%s ran %d more requests since mark", name, len(runs)-f.markedRuns[name])
		}
	}
	return nil
}

// cmdTruth compares the verdicts that callers received with the journals of the
// running upstreams: no key of a route ran twice, no request with the verdict
// not_run ran, and each request with the verdict ran and each completed service
// call with a key did run. Calls that have not ended are skipped. The orders that
// arrived at the cloud must be those of one leader at a time.
func (f *fleet) cmdTruth([]string) error {
	if err := f.checkOneLeader(); err != nil {
		return err
	}
	runsByKey := map[string]int{}
	ranIDs := map[string]bool{}
	for _, p := range f.upstreams() {
		runs, err := f.journal(p.name)
		if err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		for _, run := range runs {
			ranIDs[run.RequestID] = true
			if run.Key != "" {
				runsByKey[run.Route+"/"+run.Key]++
			}
		}
	}
	for key, n := range runsByKey {
		if n > 1 {
			return fmt.Errorf("key %s ran %d times", key, n)
		}
	}
	for _, c := range f.matchingCalls("*") {
		select {
		case <-c.ended:
		default:
			continue
		}
		if err := c.checkVerdict(ranIDs, runsByKey); err != nil {
			return err
		}
	}
	return nil
}

// leaseLifetime is the lifetime of the leaders' leases in scripts.
const leaseLifetime = time.Second

// checkOneLeader checks the orders that have arrived at the cloud.
func (f *fleet) checkOneLeader() error {
	orders, err := getJSON[[]emulator.Order](f, f.controlURL("orders"), "")
	if err != nil {
		return err
	}
	return emulator.CheckOneLeader(orders, leaseLifetime)
}

func (c *call) checkVerdict(ranIDs map[string]bool, runsByKey map[string]int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal == nil {
		if c.service && c.complete && c.key != "" && runsByKey[c.route+"/"+c.key] == 0 {
			return fmt.Errorf("%s: complete response, but no upstream ran its key", c.name)
		}
		return nil
	}
	ran := ranIDs[c.refusal.RequestID]
	switch c.refusal.Verdict {
	case judge.NotRun:
		if ran {
			return fmt.Errorf("%s: refused with %v, but an upstream ran it", c.name, c.refusal)
		}
	case judge.Ran:
		if !ran && runsByKey[c.route+"/"+c.key] == 0 {
			return fmt.Errorf("%s: refused with %v, but no upstream ran it", c.name, c.refusal)
		}
	}
	return nil
}

// cmdCrashed checks that a request crashed at least one and at most MAX
// upstreams: crashed MAX
func (f *fleet) cmdCrashed(args []string) error {
	maxCrashed, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	crashed := 0
	for _, p := range f.processes {
		if p.vm.Role != provider.RoleEntry && !p.running() && p.cmd.ProcessState.ExitCode() == 86 { // the emulator's exit code for a crashing request
			crashed++
		}
	}
	if crashed > maxCrashed || crashed == 0 {
		return fmt.Errorf("%d upstreams crashed", crashed)
	}
	return nil
}

// cmdReached checks that upstreams ran at most MAX requests in total: reached MAX UPSTREAM...
func (f *fleet) cmdReached(args []string) error {
	maxRuns, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	total := 0
	for _, name := range args[1:] {
		runs, err := f.journal(name)
		if err != nil {
			return err
		}
		total += len(runs)
	}
	if total > maxRuns {
		return fmt.Errorf("%d requests reached %s", total, strings.Join(args[1:], " "))
	}
	return nil
}

// cmdShare checks that the given upstreams received at most the fraction MAX of
// the requests to all running upstreams, plus ALLOWANCE requests:
// share MAX ALLOWANCE UPSTREAM...
func (f *fleet) cmdShare(args []string) error {
	maxShare, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return err
	}
	allowance, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	total, reached := 0, 0
	for _, p := range f.upstreams() {
		requests, err := getJSON[int](f, "http://"+p.ip+":9000/control/requests", "")
		if err != nil {
			return err
		}
		total += requests
		if slices.Contains(args[2:], p.name) {
			reached += requests
		}
	}
	if float64(reached) > maxShare*float64(total)+allowance {
		return fmt.Errorf("%d of %d requests reached %s", reached, total, strings.Join(args[2:], " "))
	}
	return nil
}

// cmdAtMost checks that a metric is at most N: atmost ENTRY NAME N
func (f *fleet) cmdAtMost(args []string) error {
	p, err := f.process(args[0])
	if err != nil {
		return err
	}
	value, err := f.metric("http://"+p.ip+":8081", args[1])
	if err != nil {
		return err
	}
	have, _ := strconv.Atoi(value)
	maxValue, err := strconv.Atoi(args[2])
	if err != nil || have > maxValue {
		return fmt.Errorf("%s is %s", args[1], value)
	}
	return nil
}

// traffic is a number of workers, each of which sends one request after another.
type traffic struct {
	stop      chan struct{}
	workers   sync.WaitGroup
	mu        sync.Mutex
	completed int
	firstErr  error
}

// cmdTraffic starts traffic that goes on until cmdQuiet: traffic NAME workers=8 k=v...
func (f *fleet) cmdTraffic(args []string) error {
	o := parseOptions(args[1:], "workers=8")
	workers, err := strconv.Atoi(o["workers"])
	if err != nil {
		return err
	}
	t := &traffic{stop: make(chan struct{})}
	f.traffic[args[0]] = t
	for w := range workers {
		t.workers.Add(1)
		go func() {
			defer t.workers.Done()
			for i := 0; !t.stopped(); i++ {
				c := newCall(fmt.Sprintf("%s-%d-%d", args[0], w, i), args[1:])
				c.run(f)
				t.count(c)
			}
		}()
	}
	return nil
}

func (t *traffic) stopped() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

// count counts a complete response and keeps the first error. A refusal with the
// verdict not_run may happen under load and is ignored; any other outcome than a
// complete response to the own request is an error.
func (t *traffic) count(c *call) {
	err := c.checkComplete()
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.completed++
		return
	}
	if c.refusal != nil && c.refusal.Verdict == judge.NotRun {
		return
	}
	if t.firstErr == nil {
		t.firstErr = err
	}
}

// cmdQuiet stops traffic, and fails if count kept an error or fewer than MIN
// requests (default 1) completed: quiet NAME [MIN]
func (f *fleet) cmdQuiet(args []string) error {
	t := f.traffic[args[0]]
	close(t.stop)
	t.workers.Wait()
	minCompleted := 1
	if len(args) > 1 {
		minCompleted, _ = strconv.Atoi(args[1])
	}
	if t.firstErr == nil && t.completed < minCompleted {
		return fmt.Errorf("only %d complete responses", t.completed)
	}
	return t.firstErr
}
