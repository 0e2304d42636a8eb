package provider

import (
	"context"
	"errors"
	"net/http"
)

// CloseSilent closes the kept connections of a client after a call that failed with err.
// What has made one connection silent, such as a lost connection table between the two
// ends, has usually done so to all that were open. A call that was canceled shows nothing.
func CloseSilent(client *http.Client, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		client.CloseIdleConnections()
	}
}
