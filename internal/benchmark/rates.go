package benchmark

import (
	"fmt"
	"slices"
	"time"
)

// rounds is how often each measurement is made; its median counts.
const rounds = 5

// Rates are decisions a second with one fleet, and their ratios to the placement module alone.
type Rates struct {
	Nodes        int     `json:"nodes"`
	Residents    int     `json:"residents"`
	Module       float64 `json:"module_per_second"`
	Engine       float64 `json:"engine_per_second"`
	EngineRatio  float64 `json:"engine_ratio"`
	Sockets      float64 `json:"sockets_per_second,omitempty"`
	SocketsRatio float64 `json:"sockets_ratio,omitempty"`
	// OfferMedianMs is the time from a request to its bind, at half of the sockets' rate.
	OfferMedianMs float64 `json:"ask_to_offer_median_ms,omitempty"`
	Offer99Ms     float64 `json:"ask_to_offer_p99_ms,omitempty"` // 99th percentile
	LateSends     int     `json:"late_sends"`                    // requests that the benchmark sent over 1 ms late
}

// MeasureRates measures the rates with a fleet. Each of the measurements takes length.
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

// rateSamples are what single rounds measured: decisions a second, and their ratios to the module of the same round.
type rateSamples struct {
	module, engine, sockets   []float64
	engineRatio, socketsRatio []float64
}

// measure adds one round.
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
