package commander

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/galenahitch/galenahitch/pkg/judge"
)

const (
	clientTimeout    = 15 * time.Second
	maxResponseBytes = 32 << 20
	pollInterval     = 250 * time.Millisecond
)

// adminCommand is embedded by the commands that ask an entry.
type adminCommand struct {
	command
	Admin  string `long:"admin" env:"GALENAHITCH_ADMIN" default:"http://127.0.0.1:8081" description:"the administration address of any entry"`
	Token  string `long:"token" env:"GALENAHITCH_TOKEN" description:"the operator's token"`
	Output string `long:"output" env:"GALENAHITCH_OUTPUT" default:"text" choice:"text" choice:"json" description:"for people or for programs"`
}

// callAdmin calls the administration API.
func callAdmin[Resp, Req any](c *adminCommand, method, path string, in Req) (Resp, error) {
	var out Resp
	body, err := json.Marshal(in)
	if err != nil {
		return out, err
	}
	req, err := http.NewRequest(method, c.Admin+"/admin/v1"+path, bytes.NewReader(body))
	if err != nil {
		return out, fail(ExitUsage, "--admin %q: %v", c.Admin, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	client := http.Client{Timeout: clientTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return out, fail(ExitUnreachable, "no entry answers at %s: %v", c.Admin, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return out, fail(ExitUnreachable, "%v", err)
	}
	if resp.StatusCode == http.StatusUnprocessableEntity {
		if json.Unmarshal(answer, &out) == nil {
			return out, nil
		}
	}
	if resp.StatusCode != http.StatusOK {
		return out, refusalError(resp.StatusCode, answer)
	}
	return out, json.Unmarshal(answer, &out)
}

func refusalError(status int, answer []byte) error {
	var refusal judge.Refusal
	_ = json.Unmarshal(answer, &refusal)
	exit := ExitFailed
	switch refusal.Code {
	case judge.CodeConflict:
		exit = ExitConflict
	case judge.CodeStoreUnreachable:
		exit = ExitUnreachable
	}
	if refusal.Code == "" {
		return fail(exit, "the entry answered with status %d", status)
	}
	return fail(exit, "%s", refusal.Error())
}

// printValue prints a value as JSON or by the given function.
func printValue[T any](c *adminCommand, value T, text func(T)) error {
	if c.Output == "json" {
		encoder := json.NewEncoder(c.io.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	text(value)
	return nil
}

func (c *command) printf(format string, args ...any) {
	fmt.Fprintf(c.io.Out, format+"\n", args...)
}

// poll asks again and again poll done, for at most limit.
func (c *command) poll(limit time.Duration, done func() (bool, error)) error {
	end := c.io.Now().Add(limit)
	for {
		ok, err := done()
		if ok || err != nil {
			return err
		}
		if c.io.Now().Add(pollInterval).After(end) {
			return fail(ExitTimedOut, "not reached within %s", limit)
		}
		time.Sleep(pollInterval)
	}
}
