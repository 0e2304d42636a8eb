// Package replayer buffers the parts of a response, so that several readers can
// read it from any offset while it is being written.
//
// One writer appends parts and ends the response once. Each reader requests the
// part at an offset and waits until it is there. The first caller, a caller that
// reconnects and a peer that takes the request over read the same buffer.
//
//	var b replayer.Buffer
//	go func() { b.Append("token "); b.End(replayer.End{Kind: replayer.Done}) }()
//	r := b.Reader(0)
//	defer r.Close()
//	text, end, err := r.Next(ctx)
package replayer
