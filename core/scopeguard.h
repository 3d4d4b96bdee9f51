#pragma once

#include <functional>
#include <utility>

namespace citronspar
{

/** Runs a function when the scope is left. */
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

    /** Drops the function, so that leaving the scope does nothing. */
    void dismiss()
    {
        m_function = nullptr;
    }
};

}
