#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <xxhash.h>

namespace sycamoreford::fakes {

/// A deterministic model. Each token depends on all earlier tokens and on every
/// layer having run exactly once and in order, so that a lost, repeated or
/// wrong step changes the text.
struct FakeModel {
  /// Input of layer 0 for the token after `tokens`.
  static std::uint64_t Embed(const std::string& messages,
                             const std::vector<std::string>& tokens) {
    std::uint64_t state = XXH64(messages.data(), messages.size(), 1);
    for (const std::string& token : tokens) {
      state = XXH64(token.data(), token.size(), state);
    }
    return state;
  }

  /// Output of one layer.
  static std::uint64_t RunLayer(std::uint64_t activation, std::uint32_t layer) {
    return XXH64(&layer, sizeof(layer), activation);
  }

  /// Output of the layers `[first, end)`.
  static std::uint64_t RunLayers(std::uint64_t activation,
                                 std::uint32_t first,
                                 std::uint32_t end) {
    for (std::uint32_t layer = first; layer < end; ++layer) {
      activation = RunLayer(activation, layer);
    }
    return activation;
  }

  /// Text of the token that the output of the last layer selects.
  static std::string Sample(std::uint64_t activation) {
    constexpr std::uint64_t kVocabularySize = 50'000;
    return " w" + std::to_string(activation % kVocabularySize);
  }

  /// The tokens of the complete answer of a correct system.
  static std::vector<std::string> GenerateTokens(const std::string& messages,
                                                 std::uint32_t layers,
                                                 std::uint32_t count) {
    std::vector<std::string> tokens;
    while (tokens.size() < count) {
      tokens.push_back(Sample(RunLayers(Embed(messages, tokens), 0, layers)));
    }
    return tokens;
  }
};

}  // namespace sycamoreford::fakes
