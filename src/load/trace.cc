#include "load/trace.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

#include "limpethaven/prompt.h"

namespace limpethaven {
namespace {

constexpr std::size_t kRememberedPrompts = 16;
constexpr double kMsPerS = 1000.0;

class TraceMaker {
 public:
  TraceMaker(const TraceSettings& trace_settings,
             const std::vector<TeamLoad>& team_loads)
      : settings(trace_settings),
        teams(team_loads),
        random(trace_settings.seed) {}

  std::vector<Arrival> Make() {
    std::vector<Arrival> arrivals;
    std::exponential_distribution<double> gap_s(this->settings.rate_per_s);
    double at_s = 0;
    for (std::int64_t index = 0; index < this->settings.requests; ++index) {
      at_s += gap_s(this->random);
      arrivals.push_back(Arrival{
          static_cast<TimeMs>(at_s * kMsPerS),
          this->settings.id_prefix + "-" + std::to_string(this->settings.seed) +
              "-" + std::to_string(index),
          this->PickTeam(), this->Prompt(index),
          this->LogUniform(this->settings.max_tokens_min,
                           this->settings.max_tokens_max)});
    }
    return arrivals;
  }

 private:
  [[nodiscard]] double Uniform() {
    return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
  }

  [[nodiscard]] Tokens LogUniform(Tokens low, Tokens high) {
    const double exponent =
        std::log(static_cast<double>(low)) +
        this->Uniform() *
            std::log(static_cast<double>(high) / static_cast<double>(low));
    return std::clamp<Tokens>(static_cast<Tokens>(std::exp(exponent)), low,
                              high);
  }

  [[nodiscard]] std::size_t PickTeam() {
    const double total = std::accumulate(
        this->teams.begin(), this->teams.end(), 0.0,
        [](double sum, const TeamLoad& team) { return sum + team.share; });
    double left = this->Uniform() * total;
    const auto picked =
        std::ranges::find_if(this->teams, [&left](const TeamLoad& team) {
          left -= team.share;
          return left <= 0;
        });
    return picked == this->teams.end()
               ? 0
               : static_cast<std::size_t>(picked - this->teams.begin());
  }

  [[nodiscard]] std::string Prompt(std::int64_t index) {
    std::string prompt;
    if (!this->earlier.empty() && this->Uniform() < this->settings.follow_up) {
      prompt = this->earlier[this->random() % this->earlier.size()];
    }
    const Tokens tokens = this->LogUniform(this->settings.prompt_tokens_min,
                                           this->settings.prompt_tokens_max);
    const std::string words =
        "turn " + std::to_string(index) + " of the talk. ";
    const std::size_t length =
        prompt.size() + static_cast<std::size_t>(tokens) * kBytesPerToken;
    while (prompt.size() < length) prompt += words;
    if (this->earlier.size() < kRememberedPrompts) {
      this->earlier.push_back(prompt);
    } else {
      this->earlier[static_cast<std::size_t>(index) % kRememberedPrompts] =
          prompt;
    }
    return prompt;
  }

  const TraceSettings& settings;
  const std::vector<TeamLoad>& teams;
  std::mt19937_64 random;
  std::vector<std::string> earlier;
};

}  // namespace

std::vector<Arrival> MakeTrace(const TraceSettings& settings,
                               const std::vector<TeamLoad>& teams) {
  return TraceMaker(settings, teams).Make();
}

}  // namespace limpethaven
