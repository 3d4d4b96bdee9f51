#include "servers/intake/responsebudget.h"

#include <catch2/catch.hpp>

using namespace citronspar;

TEST_CASE("[ResponseBudget] Nothing gives way inside the bound")
{
    ResponseBudget budget;
    budget.record(1, 1000);
    CHECK(!budget.largestBeyondBound().has_value());
    budget.setMaxBytes(1000);
    CHECK(!budget.largestBeyondBound().has_value());
    CHECK(budget.isUnderPressure());
    budget.record(1, 500);
    CHECK(!budget.isUnderPressure());
}

TEST_CASE("[ResponseBudget] Beyond the bound, a response never gives way while another one holds more")
{
    ResponseBudget budget;
    constexpr std::size_t maxBytes = 10000;
    constexpr std::size_t soundBytes = 150;
    constexpr ResponseBudget::ResponseId soundId = 7;
    budget.setMaxBytes(maxBytes);
    budget.record(soundId, soundBytes);
    // Many faulty responses grow side by side, each of them far below the bound.
    for (std::size_t bytes = 100; bytes <= 5000; bytes += 100) {
        for (ResponseBudget::ResponseId id = 100; id < 150; ++id) {
            budget.record(id, bytes);
            for (std::optional<ResponseBudget::ResponseId> largest = budget.largestBeyondBound(); largest.has_value();
                 largest = budget.largestBeyondBound()) {
                const std::size_t held = budget.heldBytes(*largest);
                CHECK(held >= budget.heldBytes(soundId));
                CHECK(held >= bytes - 100);
                budget.remove(*largest);
            }
            CHECK(budget.totalBytes() <= maxBytes);
        }
    }
    CHECK(budget.heldBytes(soundId) == soundBytes);
}

TEST_CASE("[ResponseBudget] The total is what is held now")
{
    ResponseBudget budget;
    budget.record(1, 700);
    budget.record(2, 400);
    budget.record(1, 300);
    CHECK(budget.totalBytes() == 700);
    budget.record(2, 0);
    budget.remove(3);
    CHECK(budget.totalBytes() == 300);
    budget.remove(1);
    CHECK(budget.totalBytes() == 0);
}
