package benchmark

import (
	"slices"
	"time"
)

// rounds is how often each measurement is made; its median counts.
const rounds = 5

// Rates are decisions a second with one fleet, and their ratios to the placement module alone.
type Rates struct {
	Nodes         int     `json:"nodes"`
	Residents     int     `json:"residents"`
	Module        float64 `json:"module_per_second"`
	Engine        float64 `json:"engine_per_second"`
	EngineRatio   float64 `json:"engine_ratio"`
	Sockets       float64 `json:"sockets_per_second,omitempty"`
	SocketsRatio  float64 `json:"sockets_ratio,omitempty"`
	OfferMedianMs float64 `json:"ask_to_offer_median_ms,omitempty"` // from a request to its bind, at half of the sockets' rate
	Offer99Ms     float64 `json:"ask_to_offer_p99_ms,omitempty"`    // 99th percentile
	LateSends     int     `json:"late_sends"`                       // requests that the benchmark sent over 1 ms late
}

// MeasureRates measures the rates with a fleet. Each of the measurements takes length.
func MeasureRates(f Fleet, length time.Duration, sockets bool) (Rates, error) {
	r := Rates{Nodes: f.Nodes, Residents: f.Residents}
	var modules, engines, overSockets, engineRatios, socketRatios []float64
	for range rounds {
		module, engine := f.moduleRate(length), f.engineRate(length)
		modules, engines, engineRatios = append(modules, module), append(engines, engine), append(engineRatios, engine/module)
		if sockets {
			rate, err := throughput(f, clusterOptions{}, length)
			if err != nil {
				return r, err
			}
			overSockets, socketRatios = append(overSockets, rate), append(socketRatios, rate/module)
		}
	}
	r.Module, r.Engine, r.EngineRatio = median(modules), median(engines), median(engineRatios)
	if !sockets {
		return r, nil
	}
	r.Sockets, r.SocketsRatio = median(overSockets), median(socketRatios)
	l, err := measureLatency(f, clusterOptions{}, 2*length, r.Sockets/2)
	if err != nil {
		return r, err
	}
	r.OfferMedianMs, r.Offer99Ms, r.LateSends = l.medianMs, l.p99Ms, l.lateSends
	return r, nil
}

func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	return v[len(v)/2]
}
