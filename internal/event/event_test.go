package event

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCatalogueIsDocumented(t *testing.T) {
	raw, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	seen := map[int]bool{}
	rows := ""
	for _, e := range All() {
		require.False(t, seen[e.Number()], "number %d is used twice", e.Number())
		seen[e.Number()] = true
		rows += fmt.Sprintf("| %d | %s | %s |\n", e.Number(), e.Level(), e.Text())
	}
	require.Contains(t, string(raw), rows, "the table should be:\n%s", rows)
}
