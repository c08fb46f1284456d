package router

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAddressesNeedPorts guards against routers that listen on a random port, where no other
// VM reaches them.
func TestAddressesNeedPorts(t *testing.T) {
	for _, address := range []string{"10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "host:1"} {
		t.Run(address, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.json")
			require.NoError(t, os.WriteFile(file, []byte(`{"peer": "`+address+`"}`), 0o600))
			_, err := LoadSettings(file)
			require.ErrorContains(t, err, `peer: "`+address+`" is not an address of the form IP:PORT`)
		})
	}
}
