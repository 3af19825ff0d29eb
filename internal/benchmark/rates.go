package benchmark

import (
	"fmt"
	"slices"
	"time"
)

// rounds is the number of runs of each repeated measurement; their median is reported.
const rounds = 5

// Rates are decisions per second with a fleet, and their ratios to the rate of the placement module alone.
type Rates struct {
	Nodes        int     `json:"nodes"`
	Residents    int     `json:"residents"`
	Module       float64 `json:"module_per_second"`
	Engine       float64 `json:"engine_per_second"`
	EngineRatio  float64 `json:"engine_ratio"`
	Sockets      float64 `json:"sockets_per_second,omitempty"`
	SocketsRatio float64 `json:"sockets_ratio,omitempty"`
	// OfferMedianMs is the median time from a request's due time to the arrival of its bind at the node, at half of the
	// Sockets rate.
	OfferMedianMs float64 `json:"ask_to_offer_median_ms,omitempty"`
	Offer99Ms     float64 `json:"ask_to_offer_p99_ms,omitempty"` // 99th percentile of the same
	LateSends     int     `json:"late_sends"`                    // requests that the benchmark sent more than 1 ms late
}

// MeasureRates measures the rates with a fleet, over sockets only if sockets is set. Each measurement takes length; the
// latency measurement takes twice that.
func MeasureRates(fleet Fleet, length time.Duration, sockets bool) (Rates, error) {
	rates := Rates{Nodes: fleet.Nodes, Residents: fleet.Residents}
	var samples rateSamples
	for range rounds {
		if err := samples.measure(fleet, length, sockets); err != nil {
			return rates, err
		}
	}
	rates.Module = median(samples.module)
	rates.Engine = median(samples.engine)
	rates.EngineRatio = median(samples.engineRatio)
	if !sockets {
		return rates, nil
	}
	rates.Sockets = median(samples.sockets)
	rates.SocketsRatio = median(samples.socketsRatio)
	latency, err := measureLatency(fleet, clusterOptions{}, 2*length, rates.Sockets/2)
	if err != nil {
		return rates, fmt.Errorf("measure the latency over sockets: %w", err)
	}
	rates.OfferMedianMs = latency.medianMs
	rates.Offer99Ms = latency.p99Ms
	rates.LateSends = latency.lateSends
	return rates, nil
}

// rateSamples are the results of each round: decisions per second, and their ratios to the module in the same round.
type rateSamples struct {
	module, engine, sockets   []float64
	engineRatio, socketsRatio []float64
}

// measure measures one round and adds its results.
func (s *rateSamples) measure(fleet Fleet, length time.Duration, sockets bool) error {
	module := fleet.decisions(fleet.startModule()).rate(length)
	engine := fleet.decisions(fleet.startEngine()).rate(length)
	s.module = append(s.module, module)
	s.engine = append(s.engine, engine)
	s.engineRatio = append(s.engineRatio, engine/module)
	if !sockets {
		return nil
	}
	overSockets, err := throughput(fleet, clusterOptions{}, length)
	if err != nil {
		return fmt.Errorf("measure the throughput over sockets: %w", err)
	}
	s.sockets = append(s.sockets, overSockets)
	s.socketsRatio = append(s.socketsRatio, overSockets/module)
	return nil
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
