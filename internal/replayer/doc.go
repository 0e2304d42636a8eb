// Package replayer buffers the parts of a response, so that several readers can
// read it from any offset while it is being written.
//
// One writer appends parts and ends the response once. Each reader reads the parts
// from an offset on and waits for each until it is available. The first caller, a
// caller that reconnects and a peer that joins the request read the same buffer.
//
//	var b replayer.Buffer
//	go func() { b.Append("token "); b.End(replayer.End{Kind: replayer.Done}) }()
//	r := b.Reader(0)
//	defer r.Close()
//	text, state, err := r.Next(ctx)
package replayer
