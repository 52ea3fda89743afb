#compdef ibishill
autoload -U +X bashcompinit && bashcompinit
_ibishill() {
    local word="${COMP_WORDS[COMP_CWORD]}" list=""
    if [ "$COMP_CWORD" -eq 1 ]; then
        list="serve relay explain check check-config apply diff rollout withdraw zone endpoint status wait audit refusals billing certs key-hash completions try --help --version"
    else
        case "${COMP_WORDS[1]}" in
            serve) list="--help" ;;
            relay) list="--help" ;;
            explain) list="--help" ;;
            check) list="--partial --json --help" ;;
            check-config) list="--memory-mb --settings --json --help" ;;
            apply) list="--partial --change-id --expect --daemon --token-file --ca --server-name --json --help" ;;
            diff) list="--partial --daemon --token-file --ca --server-name --json --help" ;;
            rollout) list="start pause resume advance halt --from --to --stages --reason --change-id --expect --daemon --token-file --ca --server-name --json --help" ;;
            withdraw) list="--change-id --expect --daemon --token-file --ca --server-name --json --help" ;;
            zone) list="out in --change-id --expect --daemon --token-file --ca --server-name --json --help" ;;
            endpoint) list="out in --change-id --expect --daemon --token-file --ca --server-name --json --help" ;;
            status) list="--daemon --token-file --ca --server-name --json --help" ;;
            wait) list="--timeout-ms --daemon --token-file --ca --server-name --json --help" ;;
            audit) list="--after --limit --daemon --token-file --ca --server-name --json --help" ;;
            refusals) list="--workspace --daemon --token-file --ca --server-name --json --help" ;;
            billing) list="--workspace --daemon --token-file --ca --server-name --json --help" ;;
            certs) list="--out --json --help" ;;
            key-hash) list="--json --help" ;;
            completions) list="bash zsh fish --help" ;;
            try) list="--help" ;;
        esac
    fi
    COMPREPLY=($(compgen -W "$list" -- "$word"))
}
complete -o default -F _ibishill ibishill
