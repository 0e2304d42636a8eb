package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/galenahitch/galenahitch/internal/replayer"
	"github.com/galenahitch/galenahitch/pkg/judge"
)

type chatChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
}

type chatChoice struct {
	Index        int       `json:"index"`
	Delta        *chatText `json:"delta,omitempty"`
	Message      *chatText `json:"message,omitempty"`
	FinishReason *string   `json:"finish_reason"`
}

type chatText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (s *Server) send(c *gin.Context, buffer *replayer.Buffer, id, model string, from int, stream bool) {
	if !stream {
		from = 0
	}
	s.sendFrom(c, buffer.Reader(from), 0, id, model, stream)
}

// sendFrom writes the response that reader reads. The ID of each event is the
// reader's offset plus shift.
func (s *Server) sendFrom(c *gin.Context, reader *replayer.Reader, shift int, id, model string, stream bool) {
	defer reader.Close()
	c.Header(headerRequestID, id)
	if stream {
		s.sendStream(c, reader, shift, id, model)
		return
	}
	s.sendCompletion(c, reader, id, model)
}

func (s *Server) sendCompletion(c *gin.Context, reader *replayer.Reader, id, model string) {
	var text strings.Builder
	for {
		part, state, err := reader.Next(c.Request.Context())
		if err != nil {
			return
		}
		switch state.Kind {
		case replayer.Open:
			text.WriteString(part)
			continue
		case replayer.Done:
			finish := "stop"
			c.Header(headerVerdict, string(judge.Ran))
			c.JSON(http.StatusOK, chatChunk{ID: id, Object: "chat.completion", Model: model, Choices: []chatChoice{{
				Message: &chatText{Role: "assistant", Content: text.String()}, FinishReason: &finish,
			}}})
		case replayer.Refused:
			s.writeRefusal(c, state.Refusal.WithRequestID(id))
		default:
			s.writeRefusal(c, judge.Refuse(judge.CodeLeaving, judge.MayHaveRun, "the request moved to another entry; ask for it by its id").WithRetryAfter(100*time.Millisecond).WithRequestID(id))
		}
		return
	}
}

func (s *Server) sendStream(c *gin.Context, reader *replayer.Reader, shift int, id, model string) {
	writer := eventWriter{context: c, server: s, id: id, model: model}
	for {
		offset := reader.Offset() + shift
		part, state, err := reader.Next(c.Request.Context())
		if err != nil {
			return
		}
		switch state.Kind {
		case replayer.Open:
			if writer.part(offset, part) != nil {
				return
			}
			continue
		case replayer.Done:
			writer.done(offset)
		case replayer.Refused:
			writer.refused(state.Refusal)
		default:
			writer.handedOff()
		}
		return
	}
}

// eventWriter writes a response as server-sent events.
type eventWriter struct {
	context *gin.Context
	server  *Server
	id      string
	model   string
	started bool
}

func (w *eventWriter) start() {
	if w.started {
		return
	}
	w.started = true
	w.context.Header("Content-Type", "text/event-stream")
	w.context.Header("Cache-Control", "no-store")
	w.context.Status(http.StatusOK)
}

func (w *eventWriter) write(format string, args ...any) error {
	w.start()
	setWriteDeadline(w.context, w.server.now())
	if _, err := fmt.Fprintf(w.context.Writer, format, args...); err != nil {
		return err
	}
	return http.NewResponseController(w.context.Writer).Flush()
}

func (w *eventWriter) chunk(delta string, finish *string) string {
	data, _ := json.Marshal(chatChunk{ID: w.id, Object: "chat.completion.chunk", Model: w.model, Choices: []chatChoice{{
		Delta: &chatText{Content: delta}, FinishReason: finish,
	}}})
	return string(data)
}

func (w *eventWriter) part(offset int, text string) error {
	return w.write("id: %d\ndata: %s\n\n", offset, w.chunk(text, nil))
}

func (w *eventWriter) done(offset int) {
	finish := "stop"
	_ = w.write("id: %d\ndata: %s\n\ndata: [DONE]\n\n", offset, w.chunk("", &finish))
}

// refused ends a stream with a refusal: as an ordinary response if nothing was
// written, as an event otherwise.
func (w *eventWriter) refused(refusal *judge.Refusal) {
	if !w.started {
		w.server.writeRefusal(w.context, refusal.WithRequestID(w.id))
		return
	}
	data, _ := json.Marshal(refusal.WithRequestID(w.id))
	_ = w.write("event: error\ndata: %s\n\n", data)
}

// handedOff writes an event that says that the request was handed off to another
// entry. The caller reconnects with the ID of the last event.
func (w *eventWriter) handedOff() {
	_ = w.write("event: moved\nretry: 100\ndata: {\"request_id\":%q}\n\n", w.id)
}
