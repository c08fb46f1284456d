package platform_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/stretchr/testify/require"
)

func TestOddVMDoesNotHideTheOthers(t *testing.T) {
	nested := strings.Repeat("[", 9000) + strings.Repeat("]", 9000)
	for _, odd := range []string{`5`, `[]`, `"vm"`, `{"name":5}`, `{"name":"odd","zone":[]}`, `{"name":"odd","state":1e400}`, `{"name":` + nested + `}`} {
		t.Run(odd[:min(len(odd), 30)], func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, `{"vms":[{"name":"a","state":"live"},%s,{"name":"b","state":"live"}]}`, odd)
			}))
			defer s.Close()
			list, err := platform.NewClient(platform.Settings{VMsURL: s.URL}, nil).ListVMs(t.Context())
			require.NoError(t, err)
			require.Equal(t, []platform.VM{{Name: "a", State: platform.StateLive}, {Name: "b", State: platform.StateLive}}, list.VMs)
			require.Len(t, list.Invalid, 1)
		})
	}
}
