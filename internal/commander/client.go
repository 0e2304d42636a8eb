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

// adminCommand is embedded by the commands that call the administration API.
type adminCommand struct {
	command
	Admin  string `long:"admin" env:"GALENAHITCH_ADMIN" default:"http://127.0.0.1:8081" description:"URL of the administration API of any entry"`
	Token  string `long:"token" env:"GALENAHITCH_TOKEN" description:"the operator's token"`
	Output string `long:"output" env:"GALENAHITCH_OUTPUT" default:"text" choice:"text" choice:"json" description:"output format: text for people, json for programs"`
}

// callAdmin calls the administration API and decodes the response. A body with status
// 422, which lists the problems of answers, is decoded like that of a success if it
// decodes as Resp.
func callAdmin[Resp, Req any](c *adminCommand, method, path string, payload Req) (Resp, error) {
	var out Resp
	body, err := json.Marshal(payload)
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
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return out, fail(ExitUnreachable, "%v", err)
	}
	if resp.StatusCode == http.StatusUnprocessableEntity {
		if json.Unmarshal(responseBody, &out) == nil {
			return out, nil
		}
	}
	if resp.StatusCode != http.StatusOK {
		return out, refusalError(resp.StatusCode, responseBody)
	}
	return out, json.Unmarshal(responseBody, &out)
}

// refusalError returns the error for a response that is not a success; the refusal's
// code determines the exit code.
func refusalError(status int, responseBody []byte) error {
	var refusal judge.Refusal
	_ = json.Unmarshal(responseBody, &refusal)
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

// printValue prints a value as JSON, or calls printText to print it for people.
func printValue[T any](c *adminCommand, value T, printText func(T)) error {
	if c.Output == "json" {
		encoder := json.NewEncoder(c.io.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	printText(value)
	return nil
}

func (c *command) printf(format string, args ...any) {
	fmt.Fprintf(c.io.Out, format+"\n", args...)
}

// poll calls done every pollInterval until it returns true or an error. After the
// timeout it returns an error with ExitTimedOut.
func (c *command) poll(timeout time.Duration, done func() (bool, error)) error {
	deadline := c.io.Now().Add(timeout)
	for {
		ok, err := done()
		if ok || err != nil {
			return err
		}
		if c.io.Now().Add(pollInterval).After(deadline) {
			return fail(ExitTimedOut, "not reached within %s", timeout)
		}
		time.Sleep(pollInterval)
	}
}
