package logger

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// setTimePrecision sets a global variable of zerolog once, as other loggers may be in use.
var setTimePrecision = sync.OnceFunc(func() { zerolog.TimeFieldFormat = time.RFC3339Nano })

// New returns a logger that writes one line of key=value pairs for each event of at
// least the given level to out.
func New(out io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), err
	}
	setTimePrecision()
	writer := zerolog.ConsoleWriter{
		Out:             out,
		NoColor:         true,
		TimeFormat:      timeFormat,
		FormatTimestamp: func(v any) string { return fmt.Sprintf("time=%v", v) },
		FormatLevel:     func(v any) string { return fmt.Sprintf("level=%v", v) },
		FormatMessage:   func(v any) string { return "" },
		FormatFieldName: func(v any) string { return fmt.Sprintf("%v=", v) },
		FormatFieldValue: func(v any) string {
			text := fmt.Sprint(v)
			if raw, ok := v.([]byte); ok {
				text = string(raw)
			}
			if unquoted, err := strconv.Unquote(text); err == nil {
				text = unquoted
			}
			if strings.ContainsAny(text, " =\"\n") || text == "" {
				return strconv.Quote(text)
			}
			return text
		},
		FormatErrFieldName:    func(v any) string { return fmt.Sprintf("%v=", v) },
		FormatErrFieldValue:   func(v any) string { return strconv.Quote(strings.Trim(fmt.Sprint(v), `"`)) },
		PartsOrder:            []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, "event"},
		FieldsExclude:         []string{"event"},
		FormatPartValueByName: func(v any, name string) string { return fmt.Sprintf("%s=%v", name, v) },
	}
	return zerolog.New(writer).Level(parsed).With().Timestamp().Logger(), nil
}
