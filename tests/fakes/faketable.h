#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronspar
{

/** In-memory transactional table. A transaction commits only if every row has the expected revision. */
template<class Value> class FakeTable
{
public:
    struct Row
    {
        std::int64_t revision = 0;
        Value value{};
    };

    struct Put
    {
        std::string key;
        std::int64_t expectedRevision = 0;
        Value value{};
    };

private:
    std::map<std::string, Row> m_rows;
    std::int64_t m_lastRevision = 0;

public:
    /** Returns the row of @p key, or a row with revision 0 if there is none. */
    Row read(const std::string &key) const
    {
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? Row() : found->second;
    }

    /** Writes either all rows or none. Returns true if the transaction committed. */
    bool transact(const std::vector<Put> &puts)
    {
        for (const Put &put : puts) {
            if (read(put.key).revision != put.expectedRevision) {
                return false;
            }
        }
        for (const Put &put : puts) {
            m_rows[put.key] = Row{++m_lastRevision, put.value};
        }
        return true;
    }
};

}
