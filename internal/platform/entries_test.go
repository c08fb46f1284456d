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

func TestOddRowDoesNotHideTheOthers(t *testing.T) {
	const good = `{"pk":{"S":"g"},"sk":{"S":"%s"},"v":{"N":"1"},"d":{"B":"eA=="}}`
	nested := strings.Repeat(`{"L":[`, 3000) + `{"S":"x"}` + strings.Repeat(`]}`, 3000)
	for _, odd := range []string{
		`{"pk":{"S":"g"},"sk":{"S":"odd"}}`, `{"pk":{"S":"g"},"sk":{"S":"odd"},"v":{"N":"99999999999999999999"},"d":{"B":"eA=="}}`,
		`{"pk":{"S":"g"},"sk":{"S":"odd"},"v":{"N":"-1"},"d":{"B":"eA=="}}`, `{"pk":{"S":"g"},"sk":{"S":"odd"},"v":{"S":"1"},"d":{"B":"eA=="}}`,
		`{"pk":{"S":"g"},"sk":{"S":"odd"},"v":{"N":"1"},"d":` + nested + `}`, `{}`,
	} {
		t.Run(odd[:min(len(odd), 80)], func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/x-amz-json-1.0")
				_, _ = fmt.Fprintf(w, `{"Items":[`+good+`,%s,`+good+`],"Count":3}`, "a", odd, "z")
			}))
			defer s.Close()
			rows, err := platform.NewClient(platform.Settings{TablesURL: s.URL, Table: "t"}, nil).List(t.Context(), "g")
			require.NoError(t, err)
			require.Len(t, rows, 3)
			require.Equal(t, "a", rows[0].Key.Name)
			require.Equal(t, []byte("x"), rows[0].Data)
			require.Empty(t, rows[1].Data)
			require.Equal(t, "z", rows[2].Key.Name)
			require.Equal(t, []byte("x"), rows[2].Data)
		})
	}
}
