package emulator

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/galenahitch/galenahitch/internal/provider"
)

// PlatformFaults are the faults of a Platform. They can be changed at run time.
type PlatformFaults struct {
	// Down fails every call with status 503.
	Down bool `json:"down"`
	// SlowMS delays each call, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseWrites is the number of writes and VM orders to come whose responses are
	// dropped after they took effect. Each of them decrements it.
	LoseWrites int `json:"lose_writes"`
	// CutIPs are the addresses of callers whose calls hang until they time out.
	CutIPs []string `json:"cut_ips"`
	// FreezeList keeps returning the VM list as it was when the fault was set.
	FreezeList bool `json:"freeze_list"`
	// RefuseStarts refuses orders for reclaimable VMs.
	RefuseStarts bool `json:"refuse_starts"`
}

// Reclaim announces that the cloud will reclaim VMs in RemainingMS
// milliseconds. FailureDomain adds all reclaimable VMs of that domain.
type Reclaim struct {
	VMIDs         []string `json:"vm_ids"`
	FailureDomain string   `json:"failure_domain"`
	RemainingMS   int64    `json:"left_ms"`
}

// Platform stands in for the platform: the table, the VM list, the reclaim
// notices and the cloud. Use NewPlatform; the zero value is not usable.
type Platform struct {
	mu           sync.Mutex
	rows         map[string]provider.Row
	keys         []string
	vms          map[string]provider.VM
	frozenList   []provider.VM
	reclaimTimes map[string]time.Time
	cloud        cloud
	faults       PlatformFaults
	calls        CallCounts
	now          func() time.Time
	startedAt    time.Time
}

// CallCounts are the numbers of calls to the platform: Reads and Writes of the
// table, and Lists of VMs or notices.
type CallCounts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	Lists  uint64 `json:"lists"`
}

// NewPlatform returns an empty platform whose clock is now.
func NewPlatform(now func() time.Time) *Platform {
	return &Platform{
		rows:         map[string]provider.Row{},
		vms:          map[string]provider.VM{},
		reclaimTimes: map[string]time.Time{},
		now:          now,
		startedAt:    now(),
	}
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	data := http.NewServeMux()
	data.HandleFunc("POST /table/get", handleJSON(func(_ *http.Request, row provider.Row) (provider.Row, error) {
		return p.Get(context.Background(), row.Key)
	}))
	data.HandleFunc("POST /table/put", p.withLostWrites(handleJSON(func(_ *http.Request, put provider.Put) (provider.PutResult, error) {
		return p.Put(context.Background(), put)
	})))
	data.HandleFunc("POST /table/batch", p.withLostWrites(handleJSON(func(_ *http.Request, puts []provider.Put) ([]provider.PutResult, error) {
		return p.Batch(context.Background(), puts)
	})))
	data.HandleFunc("POST /table/scan", handleJSON(func(_ *http.Request, scan provider.Scan) ([]provider.Row, error) {
		return p.Scan(context.Background(), scan)
	}))
	data.HandleFunc("POST /cloud/vms", handleJSON(func(*http.Request, struct{}) ([]provider.VM, error) {
		return p.VMs(context.Background())
	}))
	data.HandleFunc("POST /cloud/notices", handleJSON(func(*http.Request, struct{}) ([]provider.Notice, error) {
		return p.Notices(context.Background())
	}))
	p.mountCloud(data)
	mux := http.NewServeMux()
	mux.Handle("/", p.withFaults(data))
	mux.HandleFunc("POST /control/spares", handleJSON(func(_ *http.Request, vm provider.VM) (provider.VM, error) {
		p.AddSpare(vm)
		return vm, nil
	}))
	mux.HandleFunc("POST /control/faults", handleJSON(func(_ *http.Request, f PlatformFaults) (PlatformFaults, error) {
		p.SetFaults(f)
		return f, nil
	}))
	mux.HandleFunc("POST /control/vms", handleJSON(func(_ *http.Request, vm provider.VM) (provider.VM, error) {
		p.AddVM(vm)
		return vm, nil
	}))
	mux.HandleFunc("POST /control/remove", handleJSON(func(_ *http.Request, vm provider.VM) (provider.VM, error) {
		p.RemoveVM(vm.ID)
		return vm, nil
	}))
	mux.HandleFunc("POST /control/reclaim", handleJSON(func(_ *http.Request, r Reclaim) ([]string, error) {
		return p.Reclaim(r), nil
	}))
	mux.HandleFunc("GET /control/orders", handleJSON(func(*http.Request, struct{}) ([]Order, error) {
		return p.Orders(), nil
	}))
	mux.HandleFunc("GET /control/calls", handleJSON(func(*http.Request, struct{}) (CallCounts, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.calls, nil
	}))
	return mux
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.FreezeList && !p.faults.FreezeList {
		p.frozenList = p.listVMs()
	}
	p.faults = f
}

// AddVM adds a VM to the list or replaces it, and withdraws its reclaim notice.
func (p *Platform) AddVM(vm provider.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm.ID] = vm
	delete(p.reclaimTimes, vm.ID)
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, id)
}

// Reclaim announces a reclaim and returns the IDs of the affected VMs, sorted.
func (p *Platform) Reclaim(r Reclaim) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	reclaimed := slices.Clone(r.VMIDs)
	for id, vm := range p.vms {
		if r.FailureDomain != "" && vm.FailureDomain == r.FailureDomain && vm.Reclaimable {
			reclaimed = append(reclaimed, id)
		}
	}
	sort.Strings(reclaimed)
	reclaimAt := p.now().Add(time.Duration(r.RemainingMS) * time.Millisecond)
	for _, id := range reclaimed {
		p.reclaimTimes[id] = reclaimAt
	}
	return reclaimed
}

// Get returns a row. A row that does not exist has version 0.
func (p *Platform) Get(_ context.Context, key string) (provider.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Reads++
	row, ok := p.rows[key]
	if !ok {
		return provider.Row{Key: key}, nil
	}
	return row, nil
}

// Put writes a row if its version is the expected one. The result has the row
// that is stored afterwards.
func (p *Platform) Put(_ context.Context, put provider.Put) (provider.PutResult, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Writes++
	return p.put(put), nil
}

// Batch writes several rows as Put does. Each write is applied or not
// independently of the others.
func (p *Platform) Batch(_ context.Context, puts []provider.Put) ([]provider.PutResult, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Writes++
	results := make([]provider.PutResult, 0, len(puts))
	for _, put := range puts {
		results = append(results, p.put(put))
	}
	return results, nil
}

func (p *Platform) put(put provider.Put) provider.PutResult {
	row, ok := p.rows[put.Key]
	if row.Version != put.Expect {
		row.Key = put.Key
		return provider.PutResult{Row: row}
	}
	if !ok {
		at, _ := slices.BinarySearch(p.keys, put.Key)
		p.keys = slices.Insert(p.keys, at, put.Key)
	}
	row = provider.Row{Key: put.Key, Version: row.Version + 1, Value: put.Value}
	p.rows[put.Key] = row
	return provider.PutResult{Applied: true, Row: row}
}

// Scan returns the rows with a key prefix, in the order of their keys.
func (p *Platform) Scan(_ context.Context, scan provider.Scan) ([]provider.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Reads++
	found := []provider.Row{}
	for _, key := range p.keys {
		if strings.HasPrefix(key, scan.Prefix) && (scan.After == "" || key > scan.After) {
			found = append(found, p.rows[key])
		}
	}
	if scan.Reverse {
		slices.Reverse(found)
	}
	if scan.Limit > 0 && len(found) > scan.Limit {
		found = found[:scan.Limit]
	}
	return found, nil
}

// VMs returns the VM list, sorted by ID.
func (p *Platform) VMs(context.Context) ([]provider.VM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Lists++
	if p.faults.FreezeList {
		return p.frozenList, nil
	}
	return p.listVMs(), nil
}

func (p *Platform) listVMs() []provider.VM {
	list := make([]provider.VM, 0, len(p.vms))
	for id, vm := range p.vms {
		_, noticed := p.reclaimTimes[id]
		vm.Leaving = noticed
		list = append(list, vm)
	}
	slices.SortFunc(list, func(a, b provider.VM) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Notices returns the reclaim notices, sorted by VM ID.
func (p *Platform) Notices(context.Context) ([]provider.Notice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Lists++
	notices := make([]provider.Notice, 0, len(p.reclaimTimes))
	for id, reclaimAt := range p.reclaimTimes {
		notices = append(notices, provider.Notice{VMID: id, RemainingMS: max(0, reclaimAt.Sub(p.now()).Milliseconds())})
	}
	slices.SortFunc(notices, func(a, b provider.Notice) int { return strings.Compare(a.VMID, b.VMID) })
	return notices, nil
}

// withFaults applies the faults CutIPs, Down and SlowMS to each call of next.
func (p *Platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		if slices.Contains(f.CutIPs, host) {
			<-r.Context().Done()
			return
		}
		if f.Down {
			http.Error(w, "platform down", http.StatusServiceUnavailable)
			return
		}
		if f.SlowMS > 0 && !sleep(r.Context(), time.Duration(f.SlowMS)*time.Millisecond) {
			return
		}
		next.ServeHTTP(w, r)
	})
}

// withLostWrites applies the fault LoseWrites: while it is above 0, the handler calls
// next and closes the connection without a response.
func (p *Platform) withLostWrites(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		drop := p.faults.LoseWrites > 0
		if drop {
			p.faults.LoseWrites--
		}
		p.mu.Unlock()
		if !drop {
			next(w, r)
			return
		}
		next(&discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
}

type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
