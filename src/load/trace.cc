#include "load/trace.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

#include "limpethaven/prompt.h"

namespace limpethaven {
namespace {

/// Number of earlier prompts from which a follow-up request picks one.
constexpr std::size_t kRecentPromptCount = 16;
constexpr double kMsPerS = 1000.0;

class TraceGenerator {
 public:
  TraceGenerator(const TraceSettings& trace_settings,
                 const std::vector<TeamLoad>& team_loads)
      : settings(trace_settings),
        teams(team_loads),
        random_engine(trace_settings.seed) {}

  std::vector<Arrival> Generate() {
    std::vector<Arrival> arrivals;
    std::exponential_distribution<double> gap_s(this->settings.rate_per_s);
    double at_s = 0;
    for (std::int64_t index = 0; index < this->settings.requests; ++index) {
      at_s += gap_s(this->random_engine);
      arrivals.push_back(Arrival{
          static_cast<TimeMs>(at_s * kMsPerS),
          this->settings.id_prefix + "-" + std::to_string(this->settings.seed) +
              "-" + std::to_string(index),
          this->PickTeam(), this->NextPrompt(index),
          this->LogUniform(this->settings.max_tokens_min,
                           this->settings.max_tokens_max)});
    }
    return arrivals;
  }

 private:
  /// Returns a number from 0 to 1.
  [[nodiscard]] double Uniform() {
    return std::uniform_real_distribution<double>(0.0,
                                                  1.0)(this->random_engine);
  }

  [[nodiscard]] Tokens LogUniform(Tokens low, Tokens high) {
    const double exponent =
        std::log(static_cast<double>(low)) +
        this->Uniform() *
            std::log(static_cast<double>(high) / static_cast<double>(low));
    return std::clamp<Tokens>(static_cast<Tokens>(std::exp(exponent)), low,
                              high);
  }

  /// Picks the index of a team with a probability proportional to its share.
  [[nodiscard]] std::size_t PickTeam() {
    const double total = std::accumulate(
        this->teams.begin(), this->teams.end(), 0.0,
        [](double sum, const TeamLoad& team) { return sum + team.share; });
    double remaining = this->Uniform() * total;
    const auto picked =
        std::ranges::find_if(this->teams, [&remaining](const TeamLoad& team) {
          remaining -= team.share;
          return remaining <= 0;
        });
    return picked == this->teams.end()
               ? 0
               : static_cast<std::size_t>(picked - this->teams.begin());
  }

  /// Returns a new prompt, or a recent one with more text added.
  [[nodiscard]] std::string NextPrompt(std::int64_t index) {
    std::string prompt;
    if (!this->recent_prompts.empty() &&
        this->Uniform() < this->settings.follow_up_ratio) {
      prompt = this->recent_prompts[this->random_engine() %
                                    this->recent_prompts.size()];
    }
    const Tokens tokens = this->LogUniform(this->settings.prompt_tokens_min,
                                           this->settings.prompt_tokens_max);
    const std::string sentence =
        "turn " + std::to_string(index) + " of the talk. ";
    const std::size_t length =
        prompt.size() + static_cast<std::size_t>(tokens) * kBytesPerToken;
    while (prompt.size() < length) prompt += sentence;
    if (this->recent_prompts.size() < kRecentPromptCount) {
      this->recent_prompts.push_back(prompt);
    } else {
      this->recent_prompts[static_cast<std::size_t>(index) %
                           kRecentPromptCount] = prompt;
    }
    return prompt;
  }

  const TraceSettings& settings;
  const std::vector<TeamLoad>& teams;
  std::mt19937_64 random_engine;
  std::vector<std::string> recent_prompts;
};

}  // namespace

std::vector<Arrival> MakeTrace(const TraceSettings& settings,
                               const std::vector<TeamLoad>& teams) {
  return TraceGenerator(settings, teams).Generate();
}

}  // namespace limpethaven
