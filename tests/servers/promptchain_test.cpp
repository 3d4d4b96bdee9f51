#include "servers/promptchain.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace citronspar;

TEST_CASE("[PromptChain] No hash is shared across client accounts, models, adapters or weights")
{
    const std::vector<std::string> messages = {std::string(300, 'a'), std::string(300, 'b'), "question"};
    const std::vector<ChainScope> scopes = {{"mill-a", "m", "", "w1"},  {"mill-b", "m", "", "w1"}, {"mill-a", "n", "", "w1"},
                                            {"mill-a", "m", "x", "w1"}, {"mill-a", "m", "", "w2"}, {"mill-am", "", "", "w1"}};
    std::set<std::uint64_t> hashes;
    std::size_t count = 0;
    for (const ChainScope &scope : scopes) {
        const PromptChain chain = buildPromptChain(scope, messages, 64, 4);
        hashes.insert(chain.blocks.begin(), chain.blocks.end());
        hashes.insert(chain.levels.begin(), chain.levels.end());
        count += chain.blocks.size() + chain.levels.size();
    }
    CHECK(hashes.size() == count);
}

TEST_CASE("[PromptChain] Prompts share the hashes of exactly their common prefix")
{
    const ChainScope scope{"mill-a", "m", "", "w1"};
    const PromptChain first = buildPromptChain(scope, {std::string(256, 'a'), "one"}, 64, 4);
    const PromptChain second = buildPromptChain(scope, {std::string(192, 'a') + std::string(64, 'c'), "one"}, 64, 4);
    REQUIRE(first.blocks.size() == 4);
    CHECK(std::vector<std::uint64_t>(first.blocks.begin(), first.blocks.begin() + 3)
          == std::vector<std::uint64_t>(second.blocks.begin(), second.blocks.begin() + 3));
    CHECK(first.blocks[3] != second.blocks[3]);
}
