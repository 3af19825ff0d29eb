package native

import (
	"errors"
	"fmt"
	"math"

	pb "grebeglade/proto/grebeglade/v1"
)

// Errors for requests that are not admitted. Their texts are sent to clients as the reason of the answer.
var (
	errDraining         = errors.New("the allocator is stopping; ask another")
	errKeyHeld          = errors.New("a workload of that key is held here already")
	errIDsExhausted     = errors.New("the allocator has named all its workloads; restart it")
	errNoReplaceTimeout = errors.New("replace_within_ms must be above 0 where parts are to be replaced")
	errDuplicateKey     = errors.New("has the key of another part")
)

// requestValidator checks requests before they reach the engine: that their fields are valid and that the allocator has
// capacity for their workloads. The text of an error is sent to the client as the reason of the answer.
type requestValidator struct {
	workloads    *workloadTable
	gangs        *gangTable
	catalog      *catalog
	maxWorkloads int  // 0 for no limit
	draining     bool // true if no further request is admitted
}

// validate returns an error if a request cannot be admitted.
func (v *requestValidator) validate(request *pb.PlaceRequest) error {
	if v.draining {
		return errDraining
	}
	if !v.catalog.hasGroup(request.Group) {
		return fmt.Errorf("group %q is not known here; known are %q", request.Group, v.catalog.groupNames)
	}
	if err := validateAmounts(request); err != nil {
		return err
	}
	held := v.workloads.count()
	switch {
	case v.workloads.hasKey(request.Key):
		return errKeyHeld
	case v.maxWorkloads > 0 && held >= v.maxWorkloads:
		return fmt.Errorf("the allocator holds %d workloads, the most it may", held)
	case v.workloads.idsExhausted():
		return errIDsExhausted
	}
	return nil
}

// validateAmounts returns an error if an amount in a request is out of range.
func validateAmounts(request *pb.PlaceRequest) error {
	amounts := []struct {
		field string
		value float64
	}{
		{"cores", request.Cores},
		{"memory", request.Memory},
		{"left_ms", request.PendingTimeoutMs},
	}
	for _, amount := range amounts {
		if !(amount.value > 0 && amount.value <= math.MaxFloat32) { // NaN is out of range too
			return fmt.Errorf("%s is %v; it must be above 0", amount.field, amount.value)
		}
	}
	return nil
}

// validateGang returns an error if a gang cannot be admitted. The request must be completed by completeGangRequest.
func (v *requestValidator) validateGang(request *pb.GangRequest) error {
	parts := len(request.Parts)
	held := v.workloads.count() + v.gangs.unrequestedParts()
	switch {
	case parts == 0 || parts > maxGangParts:
		return fmt.Errorf("a gang of %d parts; it must have 1 to %d", parts, maxGangParts)
	case int(request.MinParts) > parts:
		return fmt.Errorf("need is %d of %d parts", request.MinParts, parts)
	case !validSpread(request.Spread):
		return fmt.Errorf(`spread is %q; it must be "node", "cell", "zone" or nothing`, request.Spread)
	case request.Replace && request.ReplaceTimeoutMs <= 0:
		return errNoReplaceTimeout
	case v.maxWorkloads > 0 && held+parts > v.maxWorkloads:
		return fmt.Errorf("the allocator holds %d workloads and may hold %d", held, v.maxWorkloads)
	}
	return v.validateParts(request.Parts)
}

// validateParts returns an error if a part of a gang cannot be admitted.
func (v *requestValidator) validateParts(parts []*pb.PlaceRequest) error {
	keys := make(map[uint64]bool, len(parts))
	for i, part := range parts {
		if err := v.validate(part); err != nil {
			return fmt.Errorf("part %d: %w", i, err)
		}
		if keys[part.Key] {
			return fmt.Errorf("part %d %w", i, errDuplicateKey)
		}
		keys[part.Key] = true
	}
	return nil
}
