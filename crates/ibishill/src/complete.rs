//! Shell completions, generated from the table of commands.

use std::fmt::Write;

use crate::table::{Spec, TABLE};

/// Returns the completion script for `shell`, or `None` if the shell is not supported.
pub(crate) fn script(shell: &str) -> Option<String> {
    match shell {
        "bash" => Some(bash()),
        "zsh" => Some(format!(
            "#compdef ibishill\nautoload -U +X bashcompinit && bashcompinit\n{}",
            bash()
        )),
        "fish" => Some(fish()),
        _ => None,
    }
}

fn command_names() -> String {
    TABLE.iter().map(|spec| spec.name).collect::<Vec<_>>().join(" ")
}

fn flags(spec: &Spec) -> String {
    let options = spec.options().map(|option| format!("--{}", option.name));
    options.chain(["--help".to_owned()]).collect::<Vec<_>>().join(" ")
}

fn bash() -> String {
    let mut text = format!(
        "_ibishill() {{\n    local word=\"${{COMP_WORDS[COMP_CWORD]}}\" list=\"\"\n    \
         if [ \"$COMP_CWORD\" -eq 1 ]; then\n        list=\"{} --help --version\"\n    \
         else\n        case \"${{COMP_WORDS[1]}}\" in\n",
        command_names()
    );
    for spec in TABLE {
        let choices = spec.choices.join(" ");
        let words = format!("{choices} {}", flags(spec));
        let _written =
            writeln!(text, "            {}) list=\"{}\" ;;", spec.name, words.trim_start());
    }
    text.push_str(
        "        esac\n    fi\n    COMPREPLY=($(compgen -W \"$list\" -- \"$word\"))\n}\n\
         complete -o default -F _ibishill ibishill\n",
    );
    text
}

fn fish() -> String {
    let mut text = String::new();
    for spec in TABLE {
        let _written = writeln!(
            text,
            "complete -c ibishill -n __fish_use_subcommand -a {} -d \"{}\"",
            spec.name, spec.about
        );
        let condition = format!("-n '__fish_seen_subcommand_from {}'", spec.name);
        for choice in spec.choices {
            let _written = writeln!(text, "complete -c ibishill {condition} -a {choice}");
        }
        for option in spec.options() {
            let value = if option.value.is_some() { " -r" } else { "" };
            let _written = writeln!(
                text,
                "complete -c ibishill {condition} -l {}{value} -d \"{}\"",
                option.name, option.about
            );
        }
    }
    text
}
