// Package logger writes one line of key=value pairs for each event.
//
// Logging never blocks. Lines go through a bounded queue to one writer. Lines that
// do not fit into the queue, or that exceed the rate limit of their event, are
// dropped and counted by event. The counts are logged as lines of their own.
//
//	q := logger.NewQueue(logger.QueueConfig{Out: os.Stdout, MaxPerSecond: 200, Now: time.Now})
//	log, err := logger.New(q, "info")
//	go q.Run(ctx)
package logger
