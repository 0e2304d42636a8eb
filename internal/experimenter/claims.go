package experimenter

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/claimer"
)

// measureClaims measures one batch write of n claims over HTTP to an emulated
// table: the duration of the write and the size of a claim in bytes.
func measureClaims(n int) (write time.Duration, size int, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	defer listener.Close()
	go func() { _ = http.Serve(listener, emulator.NewPlatform(time.Now).Handler()) }()
	table := provider.NewHTTP(provider.HTTPConfig{BaseURL: "http://" + listener.Addr().String()})
	value, err := json.Marshal(claimer.Claim{
		Token: "0b8f0c1e-0000-4000-8000-000000000000", Digest: claimer.Digest([]byte("body")), RequestID: "0b8f0c1e-0000-4000-8000-000000000000",
		EntryID: "entry-00001", UpstreamID: "worker-000001", UpstreamAddress: "10.0.0.1:9000", Attempt: 1,
	})
	if err != nil {
		return 0, 0, err
	}
	written := 0
	write = meanTime(func() {
		puts := make([]provider.Put, 0, n)
		for range n {
			written++
			puts = append(puts, provider.Put{Key: claimer.Key("organisation", fmt.Sprint(written)), Value: value})
		}
		if _, batchErr := table.Batch(context.Background(), puts); batchErr != nil {
			err = batchErr
		}
	})
	return write, len(value), err
}

// claimRows measures batch writes of 1, 10 and 100 claims and returns the rows
// of a table.
func claimRows() ([][]string, error) {
	rows := [][]string{cells("claims in a write|bytes a claim|time of the write|time a claim")}
	for _, n := range []int{1, 10, 100} {
		write, size, err := measureClaims(n)
		if err != nil {
			return nil, err
		}
		rows = append(rows, cells("%d|%d|%s|%s", n, size, write, write/time.Duration(n)))
	}
	return rows, nil
}
