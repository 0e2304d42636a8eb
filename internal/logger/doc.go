// Package logger writes one line of key=value pairs for each event.
//
// The idea: whoever logs never waits. Lines go through a bounded queue to one
// writer; what does not fit, or comes faster than a limit, is dropped and
// counted by the kind of its event, and the counts are themselves lines.
//
//	q := logger.NewQueue(logger.QueueConfig{Out: os.Stdout, PerSecond: 200})
//	log, err := logger.New(q, "info")
//	go q.Run(ctx)
package logger
