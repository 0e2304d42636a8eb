package commander

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/internal/server"
	"github.com/galenahitch/galenahitch/pkg/mover"
)

func stringReader(text string) io.Reader { return strings.NewReader(text) }

// chat is the body of a chat request. The emulated engines' response to it is
// deterministic.
type chat struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
}

func newChat(question string, tokens int) chat {
	messages, _ := json.Marshal([]struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{{"user", question}})
	return chat{Model: "chat-answer", Messages: messages, Stream: true, MaxTokens: tokens}
}

// chatChunk is one event of a streamed response.
type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// streamChat sends a chat request, calls onPart after each event of the streamed
// response, and compares the complete text with the expected one.
func (d *demo) streamChat(ctx context.Context, c chat, onPart func(part int)) error {
	body, _ := json.Marshal(c)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.callerURL+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+demoCaller)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	var text strings.Builder
	parts := 0
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: {")
		if !ok {
			continue
		}
		var chunk chatChunk
		if err := json.Unmarshal([]byte("{"+data), &chunk); err != nil || len(chunk.Choices) == 0 {
			return fmt.Errorf("unexpected event %q", data)
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
		parts++
		onPart(parts)
	}
	if text.String() != emulator.ResponseText(c.Messages, c.MaxTokens) {
		return fmt.Errorf("the answer differs from the known text after %d parts", parts)
	}
	return scanner.Err()
}

func (d *demo) stream(ctx context.Context) (string, error) {
	const tokens = 50
	err := d.streamChat(ctx, newChat("which size fits a 24.5 cm foot?", tokens), func(int) {})
	return fmt.Sprintf("%d tokens, each once and in order", tokens), err
}

// reclaim reclaims the VM that runs a stream once 20 events have arrived; another
// engine has to complete the stream.
func (d *demo) reclaim(ctx context.Context) (string, error) {
	const tokens = 2000
	reclaimedID := ""
	err := d.streamChat(ctx, newChat("and in wide shoes?", tokens), func(part int) {
		if part != 20 {
			return
		}
		for id, engine := range d.engines {
			for _, run := range engine.Runs() {
				if !run.Done && run.Tokens > 0 {
					reclaimedID = id
				}
			}
		}
		d.platform.Reclaim(emulator.Reclaim{VMIDs: []string{reclaimedID}, RemainingMS: 2000})
	})
	if err != nil {
		return "", err
	}
	recomputed := 0
	for id, engine := range d.engines {
		for _, run := range engine.Runs() {
			if run.ResumeFrom > 0 && id != reclaimedID {
				recomputed += run.RecomputedTokens
			}
		}
	}
	return fmt.Sprintf("%s left under the stream; all %d tokens arrived once, %d recomputed", reclaimedID, tokens, recomputed), nil
}

// duplicate sends the same request three times under one idempotency key, then
// another body under that key. The request must run once.
func (d *demo) duplicate(ctx context.Context) (string, error) {
	for range 3 {
		if _, _, err := d.post(ctx, "/services/profile-save", "order-17", "foot=24.5"); err != nil {
			return "", err
		}
	}
	status, text, err := d.post(ctx, "/services/profile-save", "order-17", "foot=26")
	if err != nil {
		return "", err
	}
	if status != http.StatusUnprocessableEntity {
		return "", fmt.Errorf("another body under the same key got status %d: %s", status, text)
	}
	if runs := len(d.service.Runs()); runs != 1 {
		return "", fmt.Errorf("it ran %d times", runs)
	}
	return "sent three times, ran once; the key was refused for another body", nil
}

// badVersion starts a move to a version whose requests all fail and waits until the
// move is rolled back.
func (d *demo) badVersion(ctx context.Context) (string, error) {
	d.engines["engine-3"].SetFaults(emulator.UpstreamFaults{Fail: true})
	if _, err := callAdmin[mover.Move](&d.admin, http.MethodPost, "/moves", server.MoveOrder{Deployment: "size-advice", To: "v2"}); err != nil {
		return "", err
	}
	requests := 0
	deadline := d.io.Now().Add(demoTimeout)
	for d.io.Now().Before(deadline) {
		if err := d.streamChat(ctx, newChat(fmt.Sprintf("question %d", requests), 2), func(int) {}); err != nil {
			return "", err
		}
		requests++
		list, err := callAdmin[[]server.MoveStatus](&d.admin, http.MethodGet, "/moves", struct{}{})
		if err != nil {
			return "", err
		}
		if len(list) == 1 && list[0].State == mover.RolledBack {
			return fmt.Sprintf("%s; it got %d of %d requests and each caller a whole answer", list[0].Reason, list[0].Outcomes, requests), nil
		}
	}
	return "", errors.New("the move was not taken back within " + demoTimeout.String())
}
