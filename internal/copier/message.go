package copier

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"github.com/galenahitch/galenahitch/internal/follower"
	"github.com/galenahitch/galenahitch/internal/provider"
)

const (
	// format is the version of the messages. Copies of another one are not read.
	format = 1
	// maxCopyBytes and maxRows bound a copy: a table of some thousand rows.
	maxCopyBytes = 4 << 20
	maxRows      = 1 << 14
	// pathPrefix precedes the name of the table, newerThanField is the query field with a
	// version.
	pathPrefix     = "/tables/"
	newerThanField = "newer_than"
	contentType    = "application/cbor"
)

var invalid = errorx.NewNamespace("copier").NewType("invalid")

// message is a copy of a table.
type message struct {
	Format  int              `cbor:"1,keyasint"`
	Table   string           `cbor:"2,keyasint"`
	Version provider.Version `cbor:"3,keyasint"`
	// AgeMS is the time since the store confirmed the copy, in milliseconds, rounded up.
	AgeMS int64        `cbor:"4,keyasint"`
	Rows  []messageRow `cbor:"5,keyasint"`
}

type messageRow struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version provider.Version
}

func encode(table string, c follower.Copy) ([]byte, error) {
	m := message{Format: format, Table: table, Version: c.Version, AgeMS: c.Age.Milliseconds() + 1, Rows: make([]messageRow, 0, len(c.Rows))}
	for _, row := range c.Rows {
		m.Rows = append(m.Rows, messageRow{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return cbor.Marshal(m)
}

// decoder decodes copies that are no deeper or longer than any valid one.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: maxRows, MaxNestedLevels: 4, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decode returns a copy of a table that is newer than a version.
func decode(data []byte, table string, newerThan provider.Version) (follower.Copy, error) {
	var m message
	if err := decoder.Unmarshal(data, &m); err != nil {
		return follower.Copy{}, invalid.Wrap(err, "decode a copy of %s", table)
	}
	switch {
	case m.Format != format:
		return follower.Copy{}, invalid.New("a copy has format %d", m.Format)
	case m.Table != table:
		return follower.Copy{}, invalid.New("a copy of %s is one of %s", table, m.Table)
	case m.Version <= newerThan:
		return follower.Copy{}, invalid.New("a copy of %s has version %d, not one after %d", table, m.Version, newerThan)
	case m.AgeMS < 0 || m.AgeMS > maxAge.Milliseconds():
		return follower.Copy{}, invalid.New("a copy of %s is %d ms old", table, m.AgeMS)
	}
	c := follower.Copy{Page: provider.Page{Version: m.Version}, Age: time.Duration(m.AgeMS) * time.Millisecond}
	seen := make(map[string]bool, len(m.Rows))
	for _, row := range m.Rows {
		if row.Key == "" || seen[row.Key] || row.Version == 0 || row.Version.Era() > m.Version.Era() {
			return follower.Copy{}, invalid.New("a copy of %s has the row %q of version %d", table, row.Key, row.Version)
		}
		seen[row.Key] = true
		c.Rows = append(c.Rows, provider.StoreRow{Table: table, Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return c, nil
}

// maxAge is the age up to which a copy is read.
const maxAge = 24 * time.Hour
