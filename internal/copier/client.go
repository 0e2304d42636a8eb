package copier

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/galenahitch/galenahitch/internal/follower"
	"github.com/galenahitch/galenahitch/internal/provider"
)

const (
	maxHeadBytes = 4 << 10
	// callTimeout bounds a call whose context does not.
	callTimeout = 5 * time.Second
)

// Client reads copies of tables from other entries. It is safe for concurrent use.
type Client struct{ http http.Client }

// NewClient returns a client that opens connections with a dialer.
func NewClient(dialer *net.Dialer) *Client {
	return &Client{http: http.Client{Timeout: callTimeout, Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}}}
}

// ReadTable returns the copy of the entry at an address. An error of type provider.Refused
// means that it has none that is newer than a version, any other one that it sent no valid
// copy.
func (c *Client) ReadTable(ctx context.Context, address, table string, newerThan provider.Version) (follower.Copy, error) {
	target := url.URL{Scheme: "http", Host: address, Path: pathPrefix + table, RawQuery: url.Values{newerThanField: {strconv.FormatUint(uint64(newerThan), 10)}}.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return follower.Copy{}, provider.Unreachable.Wrap(err, "read %s", table)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return follower.Copy{}, provider.Unreachable.Wrap(err, "read %s", table)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent:
		return follower.Copy{}, provider.Refused.New("the copy of %s at %s is not newer", table, address)
	default:
		return follower.Copy{}, provider.Unreachable.New("read %s: %s", table, response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxCopyBytes+1))
	if err != nil {
		return follower.Copy{}, provider.Unreachable.Wrap(err, "read %s", table)
	}
	if len(data) > maxCopyBytes {
		return follower.Copy{}, invalid.New("the copy of %s at %s is too large", table, address)
	}
	return decode(data, table, newerThan)
}
