package event

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"
)

func TestErrorThatQuotesALongTextIsCut(t *testing.T) {
	for _, text := range []string{strings.Repeat("x", 1<<20), strings.Repeat("é", 1<<20), strings.Repeat("\x00", 1<<20)} {
		var out bytes.Buffer
		w := NewWriter(&out)
		ServerInvalid.Log(&log.Logger{Handler: w}, errors.New("unknown state "+text), nil)
		w.Close()
		var line map[string]any
		require.NoError(t, json.Unmarshal(out.Bytes(), &line))
		require.Contains(t, line["error"], "unknown state ")
		require.LessOrEqual(t, out.Len(), 8<<10)
	}
}
