package copier

import (
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rs/zerolog"

	"github.com/galenahitch/galenahitch/internal/follower"
	"github.com/galenahitch/galenahitch/internal/provider"
)

const (
	// maxOpen bounds the copies that are sent at a time, and with them memory.
	maxOpen = 4
	// sendTimeout bounds the time for which a copy is sent.
	sendTimeout = 2 * time.Second
)

// HandlerConfig configures a handler.
type HandlerConfig struct {
	// Copy returns the copy of a table, and false if there is none that is newer than a
	// version.
	Copy func(table string, newerThan provider.Version) (follower.Copy, bool)
	// IsEntry reports whether an address is that of another entry.
	IsEntry func(address netip.Addr) bool
	Now     func() time.Time
	Log     zerolog.Logger
}

// NewHandler returns a handler that sends copies of tables to other entries.
func NewHandler(cfg HandlerConfig) http.Handler {
	h := &handler{cfg: cfg, open: make(chan struct{}, maxOpen)}
	engine := gin.New()
	engine.GET(pathPrefix+":table", h.serve)
	return engine
}

type handler struct {
	cfg  HandlerConfig
	open chan struct{}
}

func (h *handler) serve(c *gin.Context) {
	// One request a connection: entries that need a copy are many, and need it seldom.
	c.Header("Connection", "close")
	remote, err := netip.ParseAddrPort(c.Request.RemoteAddr)
	if err != nil || !h.cfg.IsEntry(remote.Addr()) {
		h.cfg.Log.Warn().Str("event", "copy_forbidden").Str("remote", c.Request.RemoteAddr).Err(err).Send()
		c.Status(http.StatusForbidden)
		return
	}
	newerThan, err := strconv.ParseUint(c.Query(newerThanField), 10, 64)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	select {
	case h.open <- struct{}{}:
		defer func() { <-h.open }()
	default:
		c.Status(http.StatusServiceUnavailable)
		return
	}
	table := c.Param("table")
	tableCopy, newer := h.cfg.Copy(table, provider.Version(newerThan))
	if !newer {
		c.Status(http.StatusNoContent)
		return
	}
	data, err := encode(table, tableCopy)
	if err == nil && len(data) > maxCopyBytes {
		err = invalid.New("the copy of %s has %d bytes", table, len(data))
	}
	if err != nil {
		h.cfg.Log.Error().Str("event", "copy_not_encoded").Str("table", table).Err(err).Send()
		c.Status(http.StatusInternalServerError)
		return
	}
	if err := http.NewResponseController(c.Writer).SetWriteDeadline(h.cfg.Now().Add(sendTimeout)); err != nil {
		h.cfg.Log.Warn().Str("event", "copy_without_deadline").Err(err).Send()
	}
	c.Data(http.StatusOK, contentType, data)
}
