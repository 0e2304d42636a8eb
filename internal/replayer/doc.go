// Package replayer keeps the parts of an answer so that it can be read from
// any place, by several readers, while it is still being written.
//
// The idea: one writer appends parts and ends the answer once; each reader
// asks for the part at an offset and waits for it if need be. A caller that
// reconnects, a peer that takes the request over and the first caller all read
// the same buffer.
//
//	var b replayer.Buffer
//	go func() { b.Append("token "); b.End(replayer.End{Kind: replayer.Done}) }()
//	r := b.Reader(0)
//	defer r.Close()
//	text, end, err := r.Next(ctx)
package replayer
