package emulator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/emulator"
)

func TestCheckOneLeader(t *testing.T) {
	order := func(atMS int64, holder string, fence uint64) emulator.Order {
		return emulator.Order{AtMS: atMS, Holder: holder, Fence: fence}
	}
	for name, c := range map[string]struct {
		orders []emulator.Order
		err    string
	}{
		"none":              {},
		"one after another": {orders: []emulator.Order{order(0, "a", 1), order(10, "a", 1), order(2000, "b", 2), order(5000, "a", 3)}},
		"again":             {orders: []emulator.Order{order(0, "a", 1), order(10, "a", 2)}},
		"one fence":         {orders: []emulator.Order{order(0, "a", 1), order(5000, "b", 1)}, err: "fence 1 of a and of b"},
		"late":              {orders: []emulator.Order{order(0, "a", 1), order(5000, "b", 2), order(9000, "a", 1)}, err: "fence 1 of a after fence 2 of b"},
		"in turn":           {orders: []emulator.Order{order(0, "a", 1), order(10, "a", 1), order(2000, "b", 2), order(3009, "a", 3)}, err: "a and b acted in turn within 2.999s"},
	} {
		err := emulator.CheckOneLeader(c.orders, 3*time.Second)
		if c.err == "" {
			require.NoError(t, err, name)
			continue
		}
		require.ErrorContains(t, err, c.err, name)
	}
}
