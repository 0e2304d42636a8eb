package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/rationer"
)

// Bodies of unknown length took memory for the largest one that is allowed while they were
// read, so that a few small ones held back all others.
func TestBodiesOfUnknownLengthTakeLittleMemory(t *testing.T) {
	const limit, budget = 4 << 20, 71 << 20
	for _, c := range []struct{ size, most int }{
		{500, 0}, {smallBodyBytes, smallBodyBytes * bodyGrowth}, {60 << 10, smallBodyBytes * bodyGrowth}, {1 << 20, limit}, {limit, limit},
	} {
		for _, known := range []bool{true, false} {
			t.Run(fmt.Sprint(c.size, "/", known), func(t *testing.T) {
				length := int64(-1)
				if known {
					length = int64(c.size)
				}
				total := rationer.New(budget)
				memory := total.Ration()
				most := int64(0)
				sent := bytes.Repeat([]byte("x"), c.size)
				body := io.TeeReader(iotest.OneByteReader(bytes.NewReader(sent)), writerFunc(func([]byte) {
					most = max(most, budget-total.Left())
				}))
				read, err := readWhole(t.Context(), body, length, limit, memory)
				require.NoError(t, err)
				require.Equal(t, len(sent), len(read))
				require.LessOrEqual(t, most, int64(c.most))
				require.LessOrEqual(t, int64(cap(read)), budget-total.Left()+2*smallBodyBytes)
				memory.Release()
				require.EqualValues(t, budget, total.Left())
			})
		}
	}
}

type writerFunc func([]byte)

func (f writerFunc) Write(b []byte) (int, error) {
	f(b)
	return len(b), nil
}

// A body of more than all the memory waited for it, although it can't be served.
func TestBodiesOfMoreThanTheMemoryAreRefusedAtOnce(t *testing.T) {
	memory := rationer.New(1 << 20).Ration()
	_, err := readWhole(context.Background(), bytes.NewReader(make([]byte, 2<<20)), 2<<20, 4<<20, memory)
	require.ErrorIs(t, err, errNoRequestMemory)
}
