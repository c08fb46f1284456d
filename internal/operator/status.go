package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/router"
	"github.com/valyala/fasthttp"
)

// statusTimeout bounds one request to a status server.
const statusTimeout = time.Second

// StatusReport is the status of one router, or the error of the request for it.
type StatusReport struct {
	VM     platform.VM
	Status router.Status
	Err    error
}

// FetchStatuses requests the status of every router in the platform's VM list.
func FetchStatuses(ctx context.Context, services platform.VMLister) ([]StatusReport, error) {
	list, err := services.ListVMs(ctx)
	if err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	var reports []StatusReport
	for _, vm := range list.VMs {
		if vm.Role != platform.RoleRouter {
			continue
		}
		report := StatusReport{VM: vm}
		report.Err = GetJSON(vm.StatusAddress, "/status", &report.Status)
		reports = append(reports, report)
	}
	return reports, nil
}

// GetJSON fetches a JSON document from the status server of a router.
func GetJSON(address, path string, into any) error {
	status, raw, err := fasthttp.GetTimeout(nil, "http://"+address+path, statusTimeout)
	if err != nil {
		return fmt.Errorf("operator: %s: %w", address, err)
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("operator: %s: status %d", address, status)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("operator: %s: %w", address, err)
	}
	return nil
}

// AwaitGeneration polls the routers until every listed one has applied the given
// generation or a newer one, and returns the last reports. complete is false if ctx
// ended first.
func AwaitGeneration(ctx context.Context, services platform.VMLister, generation uint64) (reports []StatusReport, complete bool) {
	for {
		latest, err := FetchStatuses(ctx, services)
		if err == nil {
			reports = latest
			if allApplied(reports, generation) {
				return reports, true
			}
		}
		select {
		case <-ctx.Done():
			return reports, false
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func allApplied(reports []StatusReport, generation uint64) bool {
	for _, r := range reports {
		if r.Err != nil || r.Status.Generation < generation {
			return false
		}
	}
	return len(reports) > 0
}
