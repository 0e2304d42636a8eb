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

// cmdAdmin runs an operator's command at an entry: admin ENTRY ARGS...
func cmdAdmin(ts *testscript.TestScript, neg bool, args []string) {
	f := ts.Value("fleet").(*fleet)
	p, err := f.process(args[0])
	ts.Check(err)
	full := append([]string{}, args[1:]...)
	for i, arg := range full {
		if strings.HasSuffix(arg, ".yaml") {
			full[i] = ts.MkAbs(arg)
		}
	}
	full = append(full, "--admin", "http://"+p.ip+":8081", "--token", operatorToken)
	exit := commander.Main(full, commander.IO{Out: ts.Stdout(), Err: ts.Stderr(), Now: time.Now})
	if neg == (exit == commander.ExitOK) {
		ts.Fatalf("admin %s: exit %d", strings.Join(args, " "), exit)
	}
}

func (f *fleet) nextHost() int {
	f.hostCount++
	return 9 + f.hostCount
}

// parseOptions splits k=v arguments from the others.
func parseOptions(args []string, defaults ...string) map[string]string {
	found := map[string]string{}
	for _, arg := range append(defaults, args...) {
		key, value, _ := strings.Cut(arg, "=")
		found[key] = value
	}
	return found
}

// cmdEngine: engine NAME domain=D [version=v1] [slots=8] [each=5ms] [first=5ms] [reclaimable=true]
func (f *fleet) cmdEngine(args []string) error {
	o := parseOptions(args[1:], "version=v1", "slots=8", "each=5ms", "first=5ms", "deployment=size-advice", "reclaimable=true")
	address := f.address(f.nextHost(), 9000)
	if err := f.start(args[0], "standin", "engine", "--listen", address, "--version", o["version"],
		"--slots", o["slots"], "--each-token", o["each"], "--first-token", o["first"]); err != nil {
		return err
	}
	return f.registerUpstream(args[0], address, provider.RoleEngine, o)
}

// cmdService: service NAME domain=D [version=v1] [slots=8] [delay=5ms]
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

// cmdEntry: entry NAME domain=D [seed=ENTRY] [lease=1s] [listed=true]
func (f *fleet) cmdEntry(args []string) error {
	o := parseOptions(args[1:], "lease=1s", "listed=true")
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

// cmdNotReady checks why an entry is not ready: notready ENTRY REASON
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

// cmdExited waits until a process ended by itself with code 0.
func (f *fleet) cmdExited(args []string) error {
	p, err := f.process(args[0])
	if err != nil {
		return err
	}
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		return fmt.Errorf("it is still running")
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("exit code %d", code)
	}
	return nil
}

// cmdCut cuts an entry off: cut ENTRY platform | cut ENTRY ENTRY
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

// cmdHeal ends all cuts.
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

// cmdPlatform switches the platform's faults: platform up | down | slow=300 | lose=2 | freeze_list
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

// cmdFault switches an upstream's faults: fault NAME [JSON]
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

// cmdReclaim announces a reclaim: reclaim LEFT VM... | reclaim LEFT domain=D
func (f *fleet) cmdReclaim(args []string) error {
	left, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	order := emulator.Reclaim{RemainingMS: left.Milliseconds()}
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

// cmdCall starts a caller: call NAME entry=E route=R|service=S [k=v...]
func (f *fleet) cmdCall(args []string) error {
	c := newCall(args[0], args[1:])
	f.mu.Lock()
	f.calls[c.name] = c
	f.mu.Unlock()
	go c.run(f)
	return nil
}

// cmdCalls starts many callers: calls PREFIX N k=v...; %d in a value is the
// caller's number.
func (f *fleet) cmdCalls(args []string) error {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	for i := range n {
		one := []string{fmt.Sprintf("%s%d", args[0], i)}
		for _, arg := range args[2:] {
			one = append(one, strings.ReplaceAll(arg, "%d", strconv.Itoa(i)))
		}
		if err := f.cmdCall(one); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) matchingCalls(pattern string) []*call {
	f.mu.Lock()
	defer f.mu.Unlock()
	prefix, many := strings.CutSuffix(pattern, "*")
	var list []*call
	for name, c := range f.calls {
		if name == pattern || many && strings.HasPrefix(name, prefix) {
			list = append(list, c)
		}
	}
	return list
}

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

// cmdExpect waits for callers' answers: expect NAME done | refused CODE [VERDICT] | done_or CODE...
func (f *fleet) cmdExpect(args []string) error {
	list := f.matchingCalls(args[0])
	if len(list) == 0 {
		return fmt.Errorf("no call %s", args[0])
	}
	for _, c := range list {
		select {
		case <-c.ended:
		case <-time.After(waitTimeout):
			return fmt.Errorf("%s never ended", c.name)
		}
		if err := c.checkOutcome(args[1], args[2:]); err != nil {
			return err
		}
	}
	return nil
}

func (c *call) checkOutcome(what string, args []string) error {
	if what == "done" {
		return c.checkComplete()
	}
	if what == "done_or" && c.checkComplete() == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal == nil {
		return fmt.Errorf("%s: no refusal: status=%d whole=%t error=%v", c.name, c.status, c.complete, c.lastErr)
	}
	if what == "done_or" {
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

// cmdTokens waits until callers have that many tokens: tokens NAME N
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

// cmdAwait waits for something to be observed:
// await upstream ENTRY ID STATE | metric ENTRY NAME N | generation ENTRY N |
// move ENTRY DEPLOYMENT STATE | audit ENTRY EVENT N | reach ENTRY ENTRY REACH | runs UPSTREAM N
func (f *fleet) cmdAwait(args []string) error {
	return f.waitFor(func() (bool, string) {
		seen, err := f.observe(args)
		if err != nil {
			return false, err.Error()
		}
		want := args[len(args)-1]
		have, _ := strconv.Atoi(seen)
		need, err := strconv.Atoi(want)
		if err == nil {
			return have >= need, "it is " + seen
		}
		return seen == want, "it is " + seen
	})
}

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
		trail, err := getJSON[[]recorder.Record](f, admin+"/admin/v1/audit", operatorToken)
		n := 0
		for _, r := range trail {
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

// cmdMark remembers how much upstreams have run: mark UPSTREAM...
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

// cmdUnchanged fails if upstreams have run anything since mark.
func (f *fleet) cmdUnchanged(args []string) error {
	for _, name := range args {
		runs, err := f.journal(name)
		if err != nil {
			return err
		}
		if len(runs) != f.markedRuns[name] {
			return fmt.Errorf("%s ran %d more", name, len(runs)-f.markedRuns[name])
		}
	}
	return nil
}

// cmdTruth compares what callers were told with what upstreams ran: no key ran
// twice, nothing called not_run ran, everything called ran did.
func (f *fleet) cmdTruth([]string) error {
	byKey := map[string]int{}
	byID := map[string]bool{}
	for _, p := range f.upstreams() {
		runs, err := f.journal(p.name)
		if err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		for _, run := range runs {
			byID[run.RequestID] = true
			if run.Key != "" {
				byKey[run.Route+"/"+run.Key]++
			}
		}
	}
	for key, n := range byKey {
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
		if err := c.checkVerdict(byID, byKey); err != nil {
			return err
		}
	}
	return nil
}

func (c *call) checkVerdict(byID map[string]bool, byKey map[string]int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal == nil {
		if c.service && c.complete && c.key != "" && byKey[c.route+"/"+c.key] == 0 {
			return fmt.Errorf("%s: answered, but its key never ran", c.name)
		}
		return nil
	}
	ran := byID[c.refusal.RequestID]
	switch c.refusal.Verdict {
	case judge.NotRun:
		if ran {
			return fmt.Errorf("%s: told %v, but it ran", c.name, c.refusal)
		}
	case judge.Ran:
		if !ran && byKey[c.route+"/"+c.key] == 0 {
			return fmt.Errorf("%s: told %v, but it did not run", c.name, c.refusal)
		}
	}
	return nil
}

// cmdCrashed bounds the upstreams that died of a request: crashed MOST
func (f *fleet) cmdCrashed(args []string) error {
	most, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	crashed := 0
	for _, p := range f.processes {
		if p.vm.Role != provider.RoleEntry && !p.running() && p.cmd.ProcessState.ExitCode() == 86 {
			crashed++
		}
	}
	if crashed > most || crashed == 0 {
		return fmt.Errorf("%d upstreams crashed", crashed)
	}
	return nil
}

// cmdReached bounds the attempts that upstreams got: reached MOST UPSTREAM...
func (f *fleet) cmdReached(args []string) error {
	most, err := strconv.Atoi(args[0])
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
	if total > most {
		return fmt.Errorf("%d requests reached %s", total, strings.Join(args[1:], " "))
	}
	return nil
}

// cmdShare bounds the share of all upstream attempts that some got: share MOST EXTRA UPSTREAM...
func (f *fleet) cmdShare(args []string) error {
	most, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return err
	}
	extra, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	all, some := 0, 0
	for _, p := range f.upstreams() {
		requests, err := getJSON[int](f, "http://"+p.ip+":9000/control/requests", "")
		if err != nil {
			return err
		}
		all += requests
		if slices.Contains(args[2:], p.name) {
			some += requests
		}
	}
	if float64(some) > most*float64(all)+extra {
		return fmt.Errorf("%d of %d requests reached %s", some, all, strings.Join(args[2:], " "))
	}
	return nil
}

// cmdAtMost bounds a metric: atmost ENTRY NAME N
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
	most, err := strconv.Atoi(args[2])
	if err != nil || have > most {
		return fmt.Errorf("%s is %s", args[1], value)
	}
	return nil
}

// traffic is a number of callers that send one request after another.
type traffic struct {
	stop      chan struct{}
	workers   sync.WaitGroup
	mu        sync.Mutex
	completed int
	firstErr  error
}

// cmdTraffic starts steady traffic: traffic NAME workers=8 k=v...
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
				one := newCall(fmt.Sprintf("%s-%d-%d", args[0], w, i), args[1:])
				one.run(f)
				t.count(one)
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

// count counts an answer. A refusal that is known not to have run may happen
// under load; anything else but the whole own answer is a broken promise.
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

// cmdQuiet ends traffic and fails if an answer was not whole: quiet NAME [LEAST]
func (f *fleet) cmdQuiet(args []string) error {
	t := f.traffic[args[0]]
	close(t.stop)
	t.workers.Wait()
	least := 1
	if len(args) > 1 {
		least, _ = strconv.Atoi(args[1])
	}
	if t.firstErr == nil && t.completed < least {
		return fmt.Errorf("only %d answers", t.completed)
	}
	return t.firstErr
}
