#pragma once

#include <functional>
#include <utility>

namespace citronspar
{

/** Calls a function at the end of its scope. */
class ScopeGuard
{
private:
    std::function<void()> m_function;

public:
    explicit ScopeGuard(std::function<void()> function)
        : m_function(std::move(function))
    {
    }

    ~ScopeGuard()
    {
        if (m_function) {
            m_function();
        }
    }

    ScopeGuard(const ScopeGuard &) = delete;
    ScopeGuard &operator=(const ScopeGuard &) = delete;

    /** Discards the function, so that it is not called at the end of the scope. */
    void dismiss()
    {
        m_function = nullptr;
    }
};

}
