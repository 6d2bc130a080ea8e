// Workloads: arrivals whose mix of prompt and output tokens shifts.
#ifndef CORIANDERLINK_TOOLS_EXPERIMENT_WORKLOAD_H_
#define CORIANDERLINK_TOOLS_EXPERIMENT_WORKLOAD_H_

#include <cmath>
#include <random>
#include <string>

namespace corianderlink {

/// Rates of one engine and the fleet's size; a deployment's sizes.
struct Deployment {
  std::string name;
  int engines = 12;
  double prefill_tokens_per_s = 20000;
  /// Streams decoded together, and the time of one step.
  int batch = 16;
  double step_s = 0.03;
  /// Time that a role change takes an engine away.
  double away_s = 5;
  /// Weight of role changes, see RoleControllerOptions.
  double change_weight = 0.9;

  double DecodeTokensPerSecond() const { return batch / step_s; }
};

inline Deployment CopaAustral() { return {"copa-austral"}; }
inline Deployment Karoo() {
  Deployment karoo{"karoo"};
  karoo.engines = 11;
  karoo.change_weight = 0.2;
  return karoo;
}

/// Mean tokens of requests at one moment.
struct Mix {
  double prompt = 0;
  double output = 0;
};

enum class Shape { kSteady, kStep, kRamp, kSquare, kPulse };

inline const char* ToString(Shape shape) {
  constexpr const char* kNames[] = {"steady", "step", "ramp", "square",
                                    "pulse"};
  return kNames[static_cast<int>(shape)];
}

/// A mix that moves between long reading and short chat.
struct Workload {
  Shape shape = Shape::kSteady;
  double period_s = 900;
  double duration_s = 3600;
  /// Offered work relative to what the best split can do.
  double load = 0.85;

  /// Share of long reading at `t` seconds, in [0, 1].
  double ReadingShare(double t) const {
    const double phase = std::fmod(t, period_s) / period_s;
    switch (shape) {
      case Shape::kSteady:
        return 0.5;
      case Shape::kStep:
        return t < duration_s / 2 ? 0.2 : 0.8;
      case Shape::kRamp:
        return 0.2 + 0.6 * std::min(1.0, t / duration_s);
      case Shape::kSquare:
        return phase < 0.5 ? 0.2 : 0.8;
      case Shape::kPulse:
        // Reading floods in for a tenth of the run.
        return t > 0.4 * duration_s && t < 0.5 * duration_s ? 0.9 : 0.3;
    }
    return 0.5;
  }

  /// Mean tokens: reading is 6,000 in and 60 out, chat 400 in and 200 out.
  Mix MixAt(double t) const {
    const double share = ReadingShare(t);
    return {400 + 5600 * share, 200 - 140 * share};
  }

  /// Requests per second that load the fleet as `load` says.
  double RateAt(double t, const Deployment& d) const {
    const Mix mix = MixAt(t);
    const double work = mix.prompt / d.prefill_tokens_per_s +
                        mix.output / d.DecodeTokensPerSecond();
    return load * d.engines / work;
  }
};

/// Lognormal with the given mean and a heavy tail (sigma 1).
inline double HeavyTailed(std::mt19937_64& random, double mean) {
  constexpr double kSigma = 1.0;
  std::lognormal_distribution<double> draw(std::log(mean) - kSigma * kSigma / 2,
                                           kSigma);
  return std::max(1.0, draw(random));
}

}  // namespace corianderlink

#endif  // CORIANDERLINK_TOOLS_EXPERIMENT_WORKLOAD_H_
